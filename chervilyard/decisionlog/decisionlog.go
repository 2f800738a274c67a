// Package decisionlog logs the decisions of an instance asynchronously, so that
// requests do not wait for the log, and keeps the latest ones in memory so that
// operators can look up the decisions on a request.
package decisionlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/yard/ring"
)

const (
	queueSize         = 8192  // decisions waiting to be written
	historySize       = 20000 // decisions that History can return
	maxLinesPerSecond = 2000  // a log that grows faster than it can be read is of no use
)

// Decision is one logged decision, such as the routing or the admission of a
// request. It must not contain API keys or request bodies.
type Decision struct {
	Time       time.Time `json:"time"` // when the decision was made
	RequestID  string    `json:"request,omitempty"`
	Kind       string    `json:"kind"` // subject, such as "route", "admit", "claim", "settle", "seat" or "loan"
	Customer   string    `json:"customer,omitempty"`
	Route      string    `json:"route,omitempty"`
	Choice     string    `json:"choice"` // the action taken
	Reason     string    `json:"reason"`
	Target     string    `json:"target,omitempty"` // target, or the member that the decision is about
	Centre     string    `json:"centre,omitempty"`
	Tokens     float64   `json:"tokens,omitempty"`
	DurationMS float64   `json:"ms,omitempty"`  // since the request arrived; for "route", the score of the target
	Run        string    `json:"run,omitempty"` // whether the request ran; see refusal.Refusal
}

// Log queues decisions and writes them to a logger in the goroutine started by
// Run. It is safe for concurrent use; Run must be called only once.
type Log struct {
	log      hclog.Logger
	capacity int // of history
	queue    *ring.Ring[Decision]

	// Only the goroutine of Run uses the fields of the window.
	windowStart time.Time    // start of the second in which lines are counted
	windowLines int          // decisions in that second
	suppressed  atomic.Int64 // decisions above maxLinesPerSecond

	mu      sync.Mutex
	history []Decision // circular once it has reached its capacity
	oldest  int        // index of the oldest decision in history
}

// New returns a decision log that writes to log and keeps the latest historySize
// decisions for History.
func New(log hclog.Logger) *Log { return NewWithHistory(log, historySize) }

// NewWithHistory returns a decision log that writes to log and keeps the latest n
// decisions for History, at least one.
func NewWithHistory(log hclog.Logger, n int) *Log {
	return &Log{log: log, capacity: max(n, 1), queue: ring.New[Decision](queueSize)}
}

// Record queues a decision without blocking. If the queue is full, the decision is
// dropped and counted by Dropped.
func (l *Log) Record(d Decision) { l.queue.TryPut(d) }

// Dropped returns the number of decisions that were not written to the log, because the
// queue was full or the limit of lines per second was reached.
func (l *Log) Dropped() int64 { return l.queue.Dropped() + l.suppressed.Load() }

// Run starts a goroutine that writes the queued decisions. When ctx is done, the
// goroutine writes the decisions left in the queue and closes the returned channel.
func (l *Log) Run(ctx context.Context) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case d := <-l.queue.Items():
				l.write(d)
			case <-ctx.Done():
				l.drain()
				return
			}
		}
	}()
	return stopped
}

// drain writes the decisions that are in the queue.
func (l *Log) drain() {
	for {
		select {
		case d := <-l.queue.Items():
			l.write(d)
		default:
			return
		}
	}
}

// write adds the decision to the history. It also logs it, unless the limit of lines
// per second is reached. A decision from before the current second, after the clock
// was set back, starts a new second.
func (l *Log) write(d Decision) {
	l.remember(d)
	if d.Time.Sub(l.windowStart) >= time.Second || d.Time.Before(l.windowStart) {
		l.windowStart, l.windowLines = d.Time, 0
	}
	if l.windowLines++; l.windowLines > maxLinesPerSecond {
		l.suppressed.Add(1)
		return
	}
	args := []any{"kind", d.Kind, "choice", d.Choice, "reason", d.Reason}
	for _, field := range []struct{ name, value string }{
		{"request", d.RequestID},
		{"customer", d.Customer},
		{"route", d.Route},
		{"target", d.Target},
		{"centre", d.Centre},
		{"run", d.Run},
	} {
		if field.value != "" {
			args = append(args, field.name, field.value)
		}
	}
	if d.Tokens != 0 {
		args = append(args, "tokens", d.Tokens)
	}
	if d.DurationMS != 0 {
		args = append(args, "ms", d.DurationMS)
	}
	l.log.Info("decision", args...)
}

// remember adds the decision to the history, in place of the oldest one if the
// history is full.
func (l *Log) remember(d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.history) < l.capacity {
		l.history = append(l.history, d)
		return
	}
	l.history[l.oldest] = d
	l.oldest = (l.oldest + 1) % l.capacity
}

// History returns the decisions on the request with the given ID that are still in
// memory, oldest first. The result is empty but not nil if there are none.
func (l *Log) History(requestID string) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []Decision{}
	for i := range l.history {
		d := l.history[(l.oldest+i)%len(l.history)]
		if d.RequestID == requestID {
			found = append(found, d)
		}
	}
	return found
}
