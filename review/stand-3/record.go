package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// event is something that an engine, a client or the operator saw.
type event struct {
	at         time.Time
	what       string // request, health, client, note
	engine     string
	from       string
	id         string
	result     string
	retryAfter time.Duration
}

type record struct {
	mu     sync.Mutex
	start  time.Time
	events []event
	sent   map[string]sent // by request
	only   string          // the machine, if there is one only
}

// sent is a request that a client sends.
type sent struct {
	machine, key string
	at           time.Time
}

// addSent records that a client sends a request to a machine now.
func (r *record) addSent(id, machine, key string) {
	r.mu.Lock()
	if r.sent == nil {
		r.sent = map[string]sent{}
	}
	r.sent[id] = sent{machine, key, time.Now()}
	r.mu.Unlock()
}

// get returns what is known of the sending of a request.
func (r *record) get(id string) sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[id]
}

// add records an event. What reaches an engine comes from the machine that the client sent it to:
// all machines of a case are in one region and forward nothing to each other.
func (r *record) add(e event) {
	r.mu.Lock()
	switch e.what {
	case "request":
		e.from = r.sent[e.id].machine
	case "health":
		e.from = r.only
	}
	r.events = append(r.events, e)
	r.mu.Unlock()
}

func (r *record) note(format string, args ...any) {
	r.add(event{at: time.Now(), what: "note", result: fmt.Sprintf(format, args...)})
}

func (r *record) sorted() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := append([]event(nil), r.events...)
	sort.SliceStable(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
	return list
}

// write writes the events and the result to a file.
func (r *record) write(path, result string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintln(f, result)
	for _, e := range r.sorted() {
		fmt.Fprintf(f, "%8.3f %s", e.at.Sub(r.start).Seconds(), e.what)
		for _, part := range []struct{ name, value string }{{"engine", e.engine}, {"from", e.from}, {"id", e.id}, {"", e.result}} {
			switch {
			case part.value == "":
			case part.name == "":
				fmt.Fprintf(f, " %s", part.value)
			default:
				fmt.Fprintf(f, " %s=%s", part.name, part.value)
			}
		}
		if e.retryAfter > 0 {
			fmt.Fprintf(f, " Retry-After=%.1f", e.retryAfter.Seconds())
		}
		fmt.Fprintln(f)
	}
	return nil
}
