package instance

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/pprof"
	"time"

	"chervilyard.example/chervilyard/placereport"
	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/refusal"
)

// Status is the state of an instance, the body of GET /status.
type Status struct {
	Address             string          `json:"address"` // host and port for callers
	PeerAddr            string          `json:"peers"`   // host and port for other instances
	Centre              string          `json:"centre"`
	Region              string          `json:"region"`
	Revision            int64           `json:"revision"`
	ConfirmedAgeSeconds float64         `json:"confirmed"` // seconds since the document was confirmed as the newest; 0 if never or more than 48 hours ago
	ReadyReason         string          `json:"ready"`     // "yes", or the reason why the instance is not ready
	Seats               []int           `json:"seats"`
	Members             int             `json:"members"` // live instances, including this one
	SeatedMembers       int             `json:"seated"`  // members that are known to hold a seat
	OpenCalls           int64           `json:"open"`
	QueuedCalls         int             `json:"waiting"` // calls queued for a target
	Targets             []TargetStatus  `json:"targets"`
	Quota               []CustomerQuota `json:"quota"`
}

// TargetStatus is the load of a target as estimated by the instance. Load and
// Capacity are numbers of concurrent calls.
type TargetStatus struct {
	Name     string `json:"name"`
	Load     int    `json:"load"`
	Capacity int    `json:"capacity"`
	Draining bool   `json:"leaving"`
}

// CustomerQuota is the share of a customer's quota that the instance holds.
type CustomerQuota struct {
	Customer  string      `json:"customer"`
	Effective loan.Amount `json:"now"`    // including loans
	Demand    float64     `json:"demand"` // forecast, in tokens per second
}

func (i *Instance) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		i.meter.Write(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := i.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.Status()) })
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, i.decisions.History(r.URL.Query().Get("request")))
	})
	mux.Handle(placereport.Path, placereport.Handler(i.Explain))
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// Status returns the current state of the instance.
func (i *Instance) Status() Status {
	now := i.now()
	s := Status{
		Address: i.CallerAddr(), PeerAddr: i.PeerAddr(), Centre: i.settings.Centre(), Revision: i.keeper.Revision(),
		ReadyReason: "yes", Seats: i.seatRenewal.Seats(), Members: len(i.members(now)), OpenCalls: i.openCalls.Load(), QueuedCalls: i.dispatch.Waiting(),
	}
	for _, m := range i.members(now) {
		if len(m.GetSeats()) > 0 {
			s.SeatedMembers++
		}
	}
	if age := i.keeper.SinceConfirmed(now); age < memberRetention*24 { // false before the first confirmation
		s.ConfirmedAgeSeconds = age.Seconds()
	}
	if reason := i.notReadyReason(); reason != "" {
		s.ReadyReason = reason
	}
	d := i.keeper.Document()
	if d == nil {
		return s
	}
	s.Region = d.Region(s.Centre)
	for _, t := range i.localTargets() {
		s.Targets = append(s.Targets, TargetStatus{Name: t.Name(), Load: i.picker.Load(now, t.Name()), Capacity: t.Capacity(), Draining: t.Draining()})
	}
	for _, c := range d.Customers() {
		state := i.lender.State(now, c.Name())
		s.Quota = append(s.Quota, CustomerQuota{Customer: c.Name(), Effective: state.Effective, Demand: state.Demand})
	}
	return s
}

func (i *Instance) registerGauges() {
	for _, k := range membudget.Kinds() {
		i.meter.Gauge(fmt.Sprintf("chervil_memory_held_bytes{kind=%q}", k), func() float64 { return float64(i.memory.Held(k)) })
	}
	i.meter.Gauge("chervil_memory_budget_bytes", func() float64 { return float64(i.memory.Limit()) })
	i.meter.Gauge("chervil_open_calls", func() float64 { return float64(i.openCalls.Load()) })
	i.meter.Gauge("chervil_waiting_calls", func() float64 { return float64(i.dispatch.Waiting()) })
	i.meter.Gauge("chervil_members", func() float64 { return float64(len(i.members(i.now()))) })
	i.meter.Gauge("chervil_seats", func() float64 { return float64(len(i.seatRenewal.Seats())) })
	i.meter.Gauge("chervil_revision", func() float64 { return float64(i.keeper.Revision()) })
	i.meter.Gauge("chervil_confirmed_seconds", func() float64 {
		// A year stands for any longer time, also for no confirmation yet.
		return min(i.keeper.SinceConfirmed(i.now()), 24*365*time.Hour).Seconds()
	})
	i.meter.Gauge("chervil_log_shed", func() float64 { return float64(i.decisions.Dropped()) })
}

func asRefusal(err error, r **refusal.Refusal) bool { return errors.As(err, r) }
