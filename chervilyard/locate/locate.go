// Package locate selects the instances that callers should use: those in regions
// that the route and the customer allow, nearest first, and among equally near
// ones those that hold most of the customer's quota.
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
	cacheSeconds = 5 // time for which callers may cache an answer
	maxInstances = 6 // in one answer
)

// Finder selects instances for calls. Its fields are set before use.
type Finder struct {
	Centre  string                             // data centre of this instance
	Region  func() string                      // returns the region of this instance
	Members func(now time.Time) []*peer.Member // returns the live instances, including this one
}

// InstanceAddress is the location of one instance.
type InstanceAddress struct {
	Address string `json:"address"` // host and port for callers
	Region  string `json:"region"`
	Centre  string `json:"centre"`
}

// Answer is the body of GET /locate.
type Answer struct {
	Instances    []InstanceAddress `json:"instances"`
	CacheSeconds int               `json:"keep"` // seconds for which the answer may be cached
}

// Find returns at most maxInstances instances for a customer's calls of the named
// route, best first. The empty name stands for any route. An unknown name is
// refused with model_unknown.
func (f *Finder) Find(now time.Time, d *document.Document, customer, name string) (Answer, error) {
	c, _ := d.Customer(customer)
	r, ok := d.Route(name)
	if name != "" && !ok {
		return Answer{}, refusal.NotRun(http.StatusNotFound, "model_unknown", "no model or service of that name")
	}
	var found []scoredMember
	for _, m := range f.Members(now) {
		region := d.Region(m.GetCentre())
		if m.GetLeaving() || m.GetCallers() == "" || region == "" || !r.AllowsRegion(region, c.HomeRegion()) {
			continue
		}
		found = append(found, scoredMember{m: m, score: f.score(d, customer, m, region)})
	}
	slices.SortStableFunc(found, func(a, b scoredMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.m.GetAddress(), b.m.GetAddress()))
	})
	a := Answer{Instances: []InstanceAddress{}, CacheSeconds: cacheSeconds}
	for _, candidate := range found[:min(len(found), maxInstances)] {
		a.Instances = append(a.Instances, InstanceAddress{Address: candidate.m.GetCallers(), Region: d.Region(candidate.m.GetCentre()), Centre: candidate.m.GetCentre()})
	}
	return a, nil
}

type scoredMember struct {
	m     *peer.Member
	score float64
}

// score rates an instance; a higher score is better. Instances in the same data
// centre come before those in the same region, and these before all others.
// Within each group the score grows with the share of the customer's quota.
func (f *Finder) score(d *document.Document, customer string, m *peer.Member, region string) float64 {
	score := 0.0
	for _, s := range m.GetSeats() {
		score += d.Share(customer, m.GetCentre(), int(s))
	}
	// The hash breaks ties in the same way for all callers of a customer. If no
	// instance near them holds its quota, they all use one instance, which then
	// borrows for all of them.
	score += float64(xxhash.Sum64String(customer+"/"+m.GetAddress())) / math.MaxUint64 / 1e6
	// The share is at most 1, so that these terms separate the groups.
	switch {
	case m.GetCentre() == f.Centre:
		score += 4
	case region == f.Region():
		score += 2
	}
	return score
}

// WriteAnswer writes the answer as JSON.
func WriteAnswer(w http.ResponseWriter, a Answer) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a) // the caller may have disconnected
}
