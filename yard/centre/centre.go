// Package centre is one data centre of a region.
package centre

// Centre is one data centre. The zero value holds no part of any quota.
type Centre struct {
	name   string
	region string
	weight float64
	seats  int
}

// New returns a data centre of the region, with its weight in the division of
// quota among data centres and the number of seats that divide its part.
func New(name, region string, weight float64, seats int) Centre {
	return Centre{name: name, region: region, weight: weight, seats: seats}
}

// Name returns the data centre's name.
func (c Centre) Name() string { return c.name }

// Region returns the region that the data centre stands in.
func (c Centre) Region() string { return c.region }

// Weight returns the data centre's weight in the division of quota.
func (c Centre) Weight() float64 { return c.weight }

// Seats returns how many instances the data centre's part is divided among.
func (c Centre) Seats() int { return c.seats }
