// Package spill decides whether a request is forwarded to another region.
package spill

import (
	"slices"
	"time"

	"chervilyard.example/yard/placement"
)

// RemoteEstimate is the estimate for a request if it is forwarded to another region.
type RemoteEstimate struct {
	Region   string
	Estimate placement.Estimate
}

// ChooseRegion returns the index of the offer with the lowest cost, or -1 if the
// request should stay in the local region, because no offer costs less than local
// or none is allowed. If localOK is false, the local region has no target that can serve the
// request in time, and local is ignored.
// Offers of tried regions, and those with an expected wait of limit or more, are
// ignored. The caller must exclude regions that may not serve the request.
func ChooseRegion(local placement.Estimate, localOK bool, offers []RemoteEstimate, tried []string, limit time.Duration) int {
	best := -1
	minCost := local.Cost
	for i, o := range offers {
		if o.Estimate.Wait >= limit || slices.Contains(tried, o.Region) {
			continue
		}
		if best < 0 && !localOK || o.Estimate.Cost < minCost {
			best, minCost = i, o.Estimate.Cost
		}
	}
	return best
}
