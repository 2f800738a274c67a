// Package customer is one tenant of the gateway and the rate that it bought.
package customer

// Customer is one tenant. The zero value has no rate and is admitted nothing.
type Customer struct {
	name   string
	rate   float64
	burst  float64
	weight float64
	home   string
}

// New returns a customer with a rate in tokens a second and a burst in tokens
// over the whole fleet, a weight among other customers when targets are full,
// and the region that it is bound to, or "" where it may be served anywhere.
func New(name string, rate, burst, weight float64, home string) Customer {
	return Customer{name: name, rate: rate, burst: burst, weight: weight, home: home}
}

// Name returns the customer's name.
func (c Customer) Name() string { return c.name }

// Rate returns the tokens a second over the whole fleet.
func (c Customer) Rate() float64 { return c.rate }

// Burst returns the tokens that may be admitted at once over the whole fleet.
func (c Customer) Burst() float64 { return c.burst }

// Weight returns the customer's part of a full target relative to others.
func (c Customer) Weight() float64 { return c.weight }

// Home returns the only region that may serve the customer, or "".
func (c Customer) Home() string { return c.home }
