package instance

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/pprof"
	"time"

	"chervilyard.example/yard/loan"
	"chervilyard.example/yard/refusal"
)

// Status is what an operator's command shows of an instance.
type Status struct {
	Address   string          `json:"address"`
	Peers     string          `json:"peers"`
	Centre    string          `json:"centre"`
	Region    string          `json:"region"`
	Revision  int64           `json:"revision"`
	Confirmed float64         `json:"confirmed"` // seconds ago
	Ready     string          `json:"ready"`     // "yes", or why not
	Seats     []int           `json:"seats"`
	Members   int             `json:"members"` // live instances with this one
	Seated    int             `json:"seated"`  // those of them that are known to hold a seat
	Open      int64           `json:"open"`    // calls
	Waiting   int             `json:"waiting"` // calls that wait for a target
	Targets   []TargetStatus  `json:"targets"`
	Quota     []CustomerQuota `json:"quota"`
}

// TargetStatus is a target's load as the instance sees it.
type TargetStatus struct {
	Name     string `json:"name"`
	Load     int    `json:"load"`
	Capacity int    `json:"capacity"`
	Leaving  bool   `json:"leaving"`
}

// CustomerQuota is a customer's share at the instance.
type CustomerQuota struct {
	Customer string      `json:"customer"`
	Now      loan.Amount `json:"now"`
	Demand   float64     `json:"demand"`
}

func (i *Instance) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		i.meter.Write(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if why := i.notReady(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { reply(w, i.Status()) })
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		reply(w, i.journal.Explain(r.URL.Query().Get("request")))
	})
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	return mux
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator may be gone
}

// Status returns what an operator asks of the instance.
func (i *Instance) Status() Status {
	now := i.now()
	s := Status{
		Address: i.Callers(), Peers: i.Peers(), Centre: i.settings.Centre(), Revision: i.keeper.Revision(),
		Ready: "yes", Seats: i.seats.Seats(), Members: len(i.members(now)), Open: i.open.Load(), Waiting: i.dispatch.Waiting(),
	}
	for _, m := range i.members(now) {
		if len(m.GetSeats()) > 0 {
			s.Seated++
		}
	}
	if age := i.keeper.Age(now); age < forgetTime*24 {
		s.Confirmed = age.Seconds()
	}
	if why := i.notReady(); why != "" {
		s.Ready = why
	}
	d := i.keeper.Document()
	if d == nil {
		return s
	}
	s.Region = d.Region(s.Centre)
	for _, t := range i.ownTargets() {
		s.Targets = append(s.Targets, TargetStatus{Name: t.Name(), Load: i.picker.Load(now, t.Name()), Capacity: t.Capacity(), Leaving: t.Leaving()})
	}
	for _, c := range d.Customers() {
		st := i.lender.State(now, c.Name())
		s.Quota = append(s.Quota, CustomerQuota{Customer: c.Name(), Now: st.Now, Demand: st.Demand})
	}
	return s
}

func (i *Instance) registerGauges() {
	i.meter.Gauge("chervil_open_calls", func() float64 { return float64(i.open.Load()) })
	i.meter.Gauge("chervil_waiting_calls", func() float64 { return float64(i.dispatch.Waiting()) })
	i.meter.Gauge("chervil_members", func() float64 { return float64(len(i.members(i.now()))) })
	i.meter.Gauge("chervil_seats", func() float64 { return float64(len(i.seats.Seats())) })
	i.meter.Gauge("chervil_revision", func() float64 { return float64(i.keeper.Revision()) })
	i.meter.Gauge("chervil_confirmed_seconds", func() float64 {
		return min(i.keeper.Age(i.now()), 24*365*time.Hour).Seconds()
	})
	i.meter.Gauge("chervil_log_shed", func() float64 { return float64(i.journal.Shed()) })
}

func asRefusal(err error, r **refusal.Refusal) bool { return errors.As(err, r) }
