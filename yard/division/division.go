// Package division divides the customers' limits over the instances of a fleet.
//
// In a region without hubs all instances have equal shares. In a region with hubs, whose
// instances would have shares too small for a request, the share of the region is held by
// a few hubs for each customer, its homes, which the others ask for the tokens of a request.
package division

import (
	"slices"

	"chervilyard.example/yard/hub"
	"chervilyard.example/yard/membership"
)

// Division is the division of the limits among the instances that an instance knows. The
// zero value gives no shares. Shares of instances that know the same others add up to 1.
type Division struct {
	self      membership.Member
	instances int
	regions   map[string]region
}

type region struct {
	instances []membership.Member
	plan      hub.Plan
}

// New returns the division among an instance and the others that may use shares. If the fleet
// has more instances, of which this one has not heard yet, the shares are smaller.
func New(self membership.Member, others []membership.Member, fleetSize int) Division {
	d := Division{self: self, instances: max(len(others)+1, fleetSize), regions: make(map[string]region)}
	for _, m := range append(others, self) {
		r := d.regions[m.Region]
		r.instances = append(r.instances, m)
		d.regions[m.Region] = r
	}
	for name, r := range d.regions {
		r.plan = hub.New(len(r.instances), r.instances)
		d.regions[name] = r
	}
	return d
}

// Share returns the share of this instance in the limits of a customer, from 0 to 1.
func (d Division) Share(customer string) float64 {
	own := d.regions[d.self.Region]
	if own.plan.Direct() {
		return 1 / float64(max(d.instances, 1))
	}
	homes := own.plan.Homes(customer)
	if !includes(homes, d.self.Name) {
		return 0
	}
	return float64(len(own.instances)) / float64(d.instances) / float64(len(homes))
}

// Pooled reports whether homes hold the shares of this instance's region.
func (d Division) Pooled() bool { return !d.regions[d.self.Region].plan.Direct() }

// Regions returns the names of the regions, sorted.
func (d Division) Regions() []string {
	var names []string
	for name := range d.regions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Homes returns the instances of a region, except this one, that hold shares of the customer,
// in the order in which this instance asks them. Other instances have another order, so that
// the homes are asked alike.
func (d Division) Homes(region, customer string) []membership.Member {
	r := d.regions[region]
	homes := r.instances
	if !r.plan.Direct() {
		homes = r.plan.Homes(customer)
	}
	others := slices.DeleteFunc(slices.Clone(homes), func(m membership.Member) bool { return m.Name == d.self.Name })
	return hub.Nearest(d.self.Name+"\x00"+customer, others, len(others))
}

func includes(members []membership.Member, name string) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return m.Name == name })
}
