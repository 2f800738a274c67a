// Package centre defines a data centre and its share of the quotas.
package centre

// Centre is a data centre. It is immutable. The zero value has no share of any
// quota.
type Centre struct {
	name   string
	region string
	weight float64
	seats  int
}

// New returns a data centre of a region. Quotas are divided among data centres in
// proportion to their weights, and the share of a data centre is divided among its
// seats.
func New(name, region string, weight float64, seats int) Centre {
	return Centre{name: name, region: region, weight: weight, seats: seats}
}

// Name returns the data centre's name.
func (c Centre) Name() string { return c.name }

// Region returns the name of the data centre's region.
func (c Centre) Region() string { return c.region }

// Weight returns the data centre's weight in the division of quotas.
func (c Centre) Weight() float64 { return c.weight }

// Seats returns the number of seats that the data centre's share is divided among.
func (c Centre) Seats() int { return c.seats }
