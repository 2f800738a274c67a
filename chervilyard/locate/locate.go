// Package locate tells callers which instances to use: those inside the
// customer's residency, the near first, and among them the holders of the
// customer's quota.
package locate

import (
	"cmp"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/document"
	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/refusal"
)

const (
	keep = 5 // seconds that a caller may keep the answer
	most = 6 // instances in one answer
)

// Finder answers where to send calls. Its fields are set before use.
type Finder struct {
	Centre  string
	Region  func() string
	Members func(now time.Time) []*peer.Member // with this instance itself
}

// Place is one instance.
type Place struct {
	Address string `json:"address"`
	Region  string `json:"region"`
	Centre  string `json:"centre"`
}

// Answer is the body of GET /locate.
type Answer struct {
	Instances []Place `json:"instances"`
	Keep      int     `json:"keep"` // seconds
}

// Find returns the instances for a customer's calls of a route, best first.
// The route "" stands for any.
func (f *Finder) Find(now time.Time, d *document.Document, customer, name string) (Answer, error) {
	c, _ := d.Customer(customer)
	r, ok := d.Route(name)
	if name != "" && !ok {
		return Answer{}, refusal.NotRun(http.StatusNotFound, "model_unknown", "no model or service of that name")
	}
	var found []ranked
	for _, m := range f.Members(now) {
		region := d.Region(m.GetCentre())
		if m.GetLeaving() || m.GetCallers() == "" || region == "" || !r.Permits(region, c.Home()) {
			continue
		}
		found = append(found, ranked{m: m, score: f.score(d, customer, m, region)})
	}
	slices.SortStableFunc(found, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.m.GetAddress(), b.m.GetAddress()))
	})
	a := Answer{Instances: []Place{}, Keep: keep}
	for _, one := range found[:min(len(found), most)] {
		a.Instances = append(a.Instances, Place{Address: one.m.GetCallers(), Region: d.Region(one.m.GetCentre()), Centre: one.m.GetCentre()})
	}
	return a, nil
}

type ranked struct {
	m     *peer.Member
	score float64
}

// score puts the data centre before the region, the region before others, and
// inside each the larger part of the customer's quota first.
func (f *Finder) score(d *document.Document, customer string, m *peer.Member, region string) float64 {
	score := 0.0
	for _, s := range m.GetSeats() {
		score += d.Part(customer, m.GetCentre(), int(s))
	}
	// Callers of a customer whose quota no instance near them holds meet at one
	// instance, which then borrows for all of them.
	score += float64(xxhash.Sum64String(customer+"/"+m.GetAddress())) / math.MaxUint64 / 1e6
	switch {
	case m.GetCentre() == f.Centre:
		score += 4
	case region == f.Region():
		score += 2
	}
	return score
}

// Serve writes an answer.
func Serve(w http.ResponseWriter, a Answer) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a) // the caller may be gone
}
