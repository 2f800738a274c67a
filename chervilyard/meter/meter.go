// Package meter collects the metrics of an instance and writes them in the Prometheus
// text format.
package meter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chervilyard.example/chervilyard/call"
)

// Meter holds the metrics of one instance. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns a meter without metrics.
func New() *Meter { return &Meter{set: metrics.NewSet()} }

// Gauge registers a gauge whose value is read at each scrape. It panics if the name is
// invalid or already registered.
func (m *Meter) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// ObserveCall records a finished call: its outcome code, the tokens used, the time
// from its arrival to the first byte if there was one, and, if status is not 0, the
// time from its arrival to now.
func (m *Meter) ObserveCall(c *call.Call, code string, status int, tokens float64, now time.Time) {
	customer, route := c.Customer.Name(), c.Route.Name()
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_calls_total{customer=%q,route=%q,code=%q}`, customer, route, code)).Inc()
	if tokens > 0 {
		m.set.GetOrCreateFloatCounter(fmt.Sprintf(`chervil_tokens_total{customer=%q,route=%q}`, customer, route)).Add(tokens)
	}
	if !c.Result.FirstByteAt.IsZero() {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`chervil_first_byte_seconds{route=%q}`, route)).Update(c.Result.FirstByteAt.Sub(c.Arrived).Seconds())
	}
	if status > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`chervil_call_seconds{route=%q}`, route)).Update(now.Sub(c.Arrived).Seconds())
	}
}

// ObserveRequest records a finished request to a plain service, which is routed by host
// and path: its outcome code and status, its duration, and the time to the first byte,
// which is 0 if there was none.
func (m *Meter) ObserveRequest(route, code string, status int, duration, firstByte time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_requests_total{route=%q,code=%q,status="%d"}`, route, code, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`chervil_request_seconds{route=%q}`, route)).Update(duration.Seconds())
	if firstByte > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`chervil_request_first_byte_seconds{route=%q}`, route)).Update(firstByte.Seconds())
	}
}

// CountRetry counts a retry of a request to a service, by reason.
func (m *Meter) CountRetry(service, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_repeats_total{service=%q,reason=%q}`, service, reason)).Inc()
}

// CountLatencyTrial counts a request that was sent to learn how long a service takes.
func (m *Meter) CountLatencyTrial(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_latency_trials_total{service=%q}`, service)).Inc()
}

// CountResponseEnd counts a response that only the end of its connection ended, or that
// ended inside an event, by its framing and its end.
func (m *Meter) CountResponseEnd(framing, end string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_response_ends_total{framing=%q,end=%q}`, framing, end)).Inc()
}

// CountRequestedWait counts a target's request to wait, by what was made of it.
func (m *Meter) CountRequestedWait(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_requested_waits_total{result=%q}`, result)).Inc()
}

// CountBrokenAttempt counts an attempt whose connection broke, by service and by how far
// the response had come.
func (m *Meter) CountBrokenAttempt(service, phase string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_broken_attempts_total{service=%q,phase=%q}`, service, phase)).Inc()
}

// CountSilentHop counts a forwarded request that ended because the hop to a member was found
// silent.
func (m *Meter) CountSilentHop(member string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_silent_hops_total{member=%q}`, member)).Inc()
}

// CountPartRefusal counts a request that was refused because of a part of its prompt, and
// states whether a trial has confirmed that targets end under the part.
func (m *Meter) CountPartRefusal(service string, confirmed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_part_refusals_total{service=%q,confirmed="%t"}`, service, confirmed)).Inc()
}

// CountBodyRefusal counts a request whose body was not read, by the kind of the body and the
// reason.
func (m *Meter) CountBodyRefusal(kind, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_body_refusals_total{kind=%q,reason=%q}`, kind, reason)).Inc()
}

// CountLeavingTarget counts a run of a target that said in a response that it leaves.
func (m *Meter) CountLeavingTarget() {
	m.set.GetOrCreateCounter(`chervil_leaving_targets_total`).Inc()
}

// CountEjection counts an ejection of a target, or its return.
func (m *Meter) CountEjection(ejected bool) {
	change := "returned"
	if ejected {
		change = "ejected"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_target_ejections_total{change=%q}`, change)).Inc()
}

// CountPermit counts a request for a permit to send a request to a target with a rate limit,
// by its result.
func (m *Meter) CountPermit(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_permits_total{result=%q}`, result)).Inc()
}

// ObserveCapacityRefusal counts a request that was refused for lack of capacity, by whether
// its customer was above its share, and its retry delay.
func (m *Meter) ObserveCapacityRefusal(service string, overShare bool, delay time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_capacity_refused_total{service=%q,over_share="%t"}`, service, overShare)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`chervil_retry_delay_seconds{service=%q}`, service)).Update(delay.Seconds())
}

// CountConnection counts a new connection to a target or to another instance.
func (m *Meter) CountConnection() { m.set.GetOrCreateCounter(`chervil_connections_total`).Inc() }

// CountClosedConnection counts a connection that the instance has closed, by kind and reason.
func (m *Meter) CountClosedConnection(kind, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_closed_connections_total{kind=%q,reason=%q}`, kind, reason)).Inc()
}

// CountQuotaRefusal counts a call that was refused because the quota of its
// customer was exhausted.
func (m *Meter) CountQuotaRefusal(customer string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_quota_refused_total{customer=%q}`, customer)).Inc()
}

// CountPeerMessage counts a message to a peer and its encoded size, by kind.
func (m *Meter) CountPeerMessage(kind string, bytes int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_peer_messages_total{kind=%q}`, kind)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_peer_bytes_total{kind=%q}`, kind)).Add(bytes)
}

// CountStoreCall counts a call to the store, by operation.
func (m *Meter) CountStoreCall(op string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`chervil_store_calls_total{op=%q}`, op)).Inc()
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) { m.set.WritePrometheus(w) }
