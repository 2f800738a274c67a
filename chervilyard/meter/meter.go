// Package meter counts what an instance does, for operators to scrape.
package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilyard.example/chervilyard/call"
)

// Meter is one instance's metrics. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns an empty meter.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// Gauge registers a value that is read at each scrape.
func (m *Meter) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// Call counts a settled call.
func (m *Meter) Call(c *call.Call, code string, status int, used float64, now time.Time) {
	customer, route := c.Customer.Name(), c.Route.Name()
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_calls_total{customer=%q,route=%q,code=%q}`, customer, route, code)).Inc()
	if used > 0 {
		m.set.GetOrCreateFloatCounter(fmt.Sprintf(`chervil_tokens_total{customer=%q,route=%q}`, customer, route)).Add(used)
	}
	if !c.Result.First.IsZero() {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`chervil_first_byte_seconds{route=%q}`, route)).Update(c.Result.First.Sub(c.Arrived).Seconds())
	}
	if status > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`chervil_call_seconds{route=%q}`, route)).Update(now.Sub(c.Arrived).Seconds())
	}
}

// Request counts a request that was passed on by host and path.
func (m *Meter) Request(route, code string, status int, took, first time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_requests_total{route=%q,code=%q,status="%d"}`, route, code, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`chervil_request_seconds{route=%q}`, route)).Update(took.Seconds())
	if first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`chervil_request_first_byte_seconds{route=%q}`, route)).Update(first.Seconds())
	}
}

// Repeat counts a request that was sent again.
func (m *Meter) Repeat(service, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_repeats_total{service=%q,reason=%q}`, service, reason)).Inc()
}

// Connect counts a new connection to a target or an instance.
func (m *Meter) Connect() { m.set.GetOrCreateCounter(`chervil_connections_total`).Inc() }

// Refused counts a call refused for its customer's quota.
func (m *Meter) Refused(customer string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_quota_refused_total{customer=%q}`, customer)).Inc()
}

// Sent counts a message to a peer.
func (m *Meter) Sent(kind string, bytes int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_peer_messages_total{kind=%q}`, kind)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_peer_bytes_total{kind=%q}`, kind)).Add(bytes)
}

// Store counts a call of the store.
func (m *Meter) Store(op string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_store_calls_total{op=%q}`, op)).Inc()
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) { m.set.WritePrometheus(w) }
