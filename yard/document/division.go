package document

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/centre"
)

// computeShares sets the share of every seat for every customer.
func (d *Document) computeShares() {
	d.shares = make(map[string]map[string][]float64, len(d.customers))
	for name, c := range d.customers {
		d.shares[name] = d.customerShares(name, c.Burst(), d.eligibleCentres(c.HomeRegion()))
	}
}

// customerShares returns the share of each seat in one customer's quota, by
// data centre and seat number. It selects seats in rendezvous hashing order
// (Thaler and Ravishankar, 1998), so that adding or removing a data centre
// moves few shares. Each region gets a first data centre before any region gets
// a second, and each data centre a first seat before any gets a second.
func (d *Document) customerShares(customer string, burst float64, eligible []centre.Centre) map[string][]float64 {
	seatBudget := max(int(burst/d.quota.MinShareBurst), d.quota.MinRegions)
	chosen := make(map[string]int) // 1 for each data centre that gets a share
	totalWeight := 0.0
	for _, c := range rankCentres(customer, eligible)[:min(seatBudget, len(eligible))] {
		chosen[c.Name()] = 1
		totalWeight += c.Weight()
	}
	extra := seatBudget - len(chosen) // seats left after the first of each data centre
	shares := make(map[string][]float64, len(chosen))
	for _, c := range rankCentres(customer, eligible) {
		if chosen[c.Name()] == 0 {
			continue
		}
		n := min(d.quota.MaxSeatsPerCentre, c.Seats(), 1+max(extra, 0))
		extra -= n - 1
		shares[c.Name()] = seatShares(customer, c, n, c.Weight()/totalWeight)
	}
	return shares
}

// rankCentres returns the data centres in the order in which a customer's quota
// is placed: the highest score of each region first, then the second highest of
// each region, and so on.
func rankCentres(customer string, eligible []centre.Centre) []centre.Centre {
	ranked := slices.Clone(eligible)
	slices.SortFunc(ranked, func(a, b centre.Centre) int {
		return cmp.Compare(score(customer, b.Name()), score(customer, a.Name()))
	})
	position := make(map[string]int) // position within its region, by data centre
	regionCounts := make(map[string]int)
	for _, c := range ranked {
		position[c.Name()] = regionCounts[c.Region()]
		regionCounts[c.Region()]++
	}
	slices.SortStableFunc(ranked, func(a, b centre.Centre) int { return position[a.Name()] - position[b.Name()] })
	return ranked
}

// seatShares divides a data centre's share evenly among n of its seats.
func seatShares(customer string, c centre.Centre, n int, share float64) []float64 {
	seatNumbers := make([]int, c.Seats())
	for i := range seatNumbers {
		seatNumbers[i] = i
	}
	slices.SortFunc(seatNumbers, func(a, b int) int {
		return cmp.Compare(score(customer, c.Name(), strconv.Itoa(b)), score(customer, c.Name(), strconv.Itoa(a)))
	})
	seats := make([]float64, c.Seats())
	for _, i := range seatNumbers[:n] {
		seats[i] = share / float64(n)
	}
	return seats
}

// score returns the rendezvous hashing score for a customer of a data centre, or
// of one of its seats. The path is the name of the data centre, followed by the
// seat number if it is for a seat.
func score(customer string, path ...string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(customer) // never fails
	for _, p := range path {
		_, _ = h.WriteString("/" + p)
	}
	return h.Sum64()
}
