package document

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/centre"
)

// divide works out the part of every seat for every customer.
func (d *Document) divide() {
	d.parts = make(map[string]map[string][]float64, len(d.customers))
	for name, c := range d.customers {
		d.parts[name] = d.divideOne(name, c.Burst(), d.holders(c.Home()))
	}
}

// divideOne chooses the seats that hold one customer's quota. Every region has
// one before any has two, and every data centre before any of its seats gets
// company, in the order of rendezvous hashing (Thaler and Ravishankar, 1998),
// so that a change of the fleet moves few parts.
func (d *Document) divideOne(customer string, burst float64, held []centre.Centre) map[string][]float64 {
	pieces := max(int(burst/d.terms.Piece), d.terms.Reach)
	chosen := make(map[string]int) // seats by data centre
	total := 0.0
	for _, c := range order(customer, held)[:min(pieces, len(held))] {
		chosen[c.Name()] = 1
		total += c.Weight()
	}
	extra := pieces - len(chosen)
	parts := make(map[string][]float64, len(chosen))
	for _, c := range order(customer, held) {
		if chosen[c.Name()] == 0 {
			continue
		}
		n := min(d.terms.Spread, c.Seats(), 1+max(extra, 0))
		extra -= n - 1
		parts[c.Name()] = seatParts(customer, c, n, c.Weight()/total)
	}
	return parts
}

// order ranks data centres for a customer: the first of each region before the
// second of any.
func order(customer string, held []centre.Centre) []centre.Centre {
	ranked := slices.Clone(held)
	slices.SortFunc(ranked, func(a, b centre.Centre) int {
		return cmp.Compare(rank(customer, b.Name()), rank(customer, a.Name()))
	})
	turn := make(map[string]int) // position in its region
	seen := make(map[string]int)
	for _, c := range ranked {
		turn[c.Name()] = seen[c.Region()]
		seen[c.Region()]++
	}
	slices.SortStableFunc(ranked, func(a, b centre.Centre) int { return turn[a.Name()] - turn[b.Name()] })
	return ranked
}

// seatParts divides a data centre's part evenly among n of its seats.
func seatParts(customer string, c centre.Centre, n int, part float64) []float64 {
	numbers := make([]int, c.Seats())
	for i := range numbers {
		numbers[i] = i
	}
	slices.SortFunc(numbers, func(a, b int) int {
		return cmp.Compare(rank(customer, c.Name(), strconv.Itoa(b)), rank(customer, c.Name(), strconv.Itoa(a)))
	})
	seats := make([]float64, c.Seats())
	for _, i := range numbers[:n] {
		seats[i] = part / float64(n)
	}
	return seats
}

func rank(customer string, place ...string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(customer) // never fails
	for _, p := range place {
		_, _ = h.WriteString("/" + p)
	}
	return h.Sum64()
}
