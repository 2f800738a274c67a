// Package journal writes one log line for each decision, off the request's way,
// and keeps the last ones so that an operator can have a request explained.
package journal

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"chervilyard.example/yard/ring"
)

const (
	ringSize = 8192
	kept     = 20000 // decisions that can be explained
	maxLines = 2000  // written in a second; a log that grows faster than disks are read explains nothing
)

// Decision is one routing, admission or placement decision. It never holds a
// key or a body.
type Decision struct {
	Time     time.Time `json:"time"`
	Request  string    `json:"request,omitempty"`
	Kind     string    `json:"kind"` // "route", "admit", "claim", "settle", "seat", "loan" or "config"
	Customer string    `json:"customer,omitempty"`
	Route    string    `json:"route,omitempty"`
	Choice   string    `json:"choice"` // what was chosen
	Reason   string    `json:"reason"`
	Target   string    `json:"target,omitempty"`
	Centre   string    `json:"centre,omitempty"`
	Tokens   float64   `json:"tokens,omitempty"`
	Millis   float64   `json:"ms,omitempty"`
	Run      string    `json:"run,omitempty"`
}

// Journal takes decisions in and writes them in its own duty. It is safe for
// concurrent use.
type Journal struct {
	log   hclog.Logger
	kept  int
	queue *ring.Ring[Decision]

	second time.Time // that lines are counted in
	lines  int
	cut    atomic.Int64 // decisions over maxLines

	mu     sync.Mutex
	recent []Decision
	at     int
}

// New returns a journal that writes to the logger.
func New(log hclog.Logger) *Journal { return Keeping(log, kept) }

// Keeping returns a journal that keeps the last n decisions to be explained.
func Keeping(log hclog.Logger, n int) *Journal {
	return &Journal{log: log, kept: max(n, 1), queue: ring.New[Decision](ringSize)}
}

// Note hands a decision over; where the writer is behind, it is shed and counted.
func (j *Journal) Note(d Decision) { j.queue.Put(d) }

// Shed returns how many decisions were not written.
func (j *Journal) Shed() int64 { return j.queue.Shed() + j.cut.Load() }

// Run writes decisions until the context ends, then what is left, and closes
// the returned channel.
func (j *Journal) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case d := <-j.queue.Items():
				j.write(d)
			case <-ctx.Done():
				j.rest()
				return
			}
		}
	}()
	return ended
}

func (j *Journal) rest() {
	for {
		select {
		case d := <-j.queue.Items():
			j.write(d)
		default:
			return
		}
	}
}

func (j *Journal) write(d Decision) {
	j.keep(d)
	if d.Time.Sub(j.second) >= time.Second || d.Time.Before(j.second) {
		j.second, j.lines = d.Time, 0
	}
	if j.lines++; j.lines > maxLines {
		j.cut.Add(1)
		return
	}
	args := []any{"kind", d.Kind, "choice", d.Choice, "reason", d.Reason}
	for _, f := range []struct{ name, value string }{
		{"request", d.Request},
		{"customer", d.Customer},
		{"route", d.Route},
		{"target", d.Target},
		{"centre", d.Centre},
		{"run", d.Run},
	} {
		if f.value != "" {
			args = append(args, f.name, f.value)
		}
	}
	if d.Tokens != 0 {
		args = append(args, "tokens", d.Tokens)
	}
	if d.Millis != 0 {
		args = append(args, "ms", d.Millis)
	}
	j.log.Info("decision", args...)
}

func (j *Journal) keep(d Decision) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.recent) < j.kept {
		j.recent = append(j.recent, d)
		return
	}
	j.recent[j.at] = d
	j.at = (j.at + 1) % j.kept
}

// Explain returns the decisions on a request that are still kept, oldest first.
func (j *Journal) Explain(request string) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	found := []Decision{}
	for i := range j.recent {
		d := j.recent[(j.at+i)%len(j.recent)]
		if d.Request == request {
			found = append(found, d)
		}
	}
	return found
}
