// Package spill decides whether a request leaves the region that it arrived in.
package spill

import (
	"slices"
	"time"

	"chervilyard.example/yard/placement"
)

// Offer is what an instance of another region may do for a request.
type Offer struct {
	Region   string
	Estimate placement.Estimate
}

// Choose returns the index of the offer that costs the request least, or -1
// where the region itself costs no more. The region is out of the question where
// near is not ok; tried regions are, and so is an offer that lasts longer than
// the limit. The caller has left out regions that may not serve the request.
func Choose(near placement.Estimate, ok bool, offers []Offer, tried []string, limit time.Duration) int {
	best := -1
	least := near.Cost
	for i, o := range offers {
		if o.Estimate.Wait >= limit || slices.Contains(tried, o.Region) {
			continue
		}
		if best < 0 && !ok || o.Estimate.Cost < least {
			best, least = i, o.Estimate.Cost
		}
	}
	return best
}
