// Package catalog is the operator's configuration as a request meets it:
// routes by host and path, customers by key, services and limits.
package catalog

import (
	"net"
	"slices"
	"strings"

	"chervilyard.example/yard/customer"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/service"
)

// Limits bound what a caller may send.
type Limits struct {
	Body int64 // bytes of a request's body; 0 means no limit
}

// Catalog is one version of the configuration. It is immutable, and so safe
// for concurrent use. The zero value has no routes and no customers.
type Catalog struct {
	version   int64
	limits    Limits
	keyed     bool
	routes    map[string][]route.Route // by host, the longest prefix first
	named     map[string]route.Route   // by name
	customers map[string]customer.Customer
	keys      map[string]string // customer by key
	services  map[string]service.Service
	charges   map[string]float64
}

// Draft collects the parts of a catalog.
type Draft struct {
	Version   int64
	Limits    Limits
	Routes    []route.Route
	Services  []service.Service
	Customers []customer.Customer
	Keys      map[string]string  // customer by key
	Charges   map[string]float64 // tokens of a request that names none, by customer
}

// New returns the catalog of a draft.
func New(d Draft) *Catalog {
	c := &Catalog{
		version:   d.Version,
		limits:    d.Limits,
		keyed:     len(d.Customers) > 0,
		routes:    make(map[string][]route.Route),
		named:     make(map[string]route.Route, len(d.Routes)),
		customers: make(map[string]customer.Customer, len(d.Customers)),
		keys:      d.Keys,
		services:  make(map[string]service.Service, len(d.Services)),
		charges:   d.Charges,
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host())
		c.routes[host] = append(c.routes[host], r)
		c.named[r.Name()] = r
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b route.Route) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	for _, one := range d.Customers {
		c.customers[one.Name()] = one
	}
	for _, s := range d.Services {
		c.services[s.Name()] = s
	}
	return c
}

// Version returns the operator's version, which only rises.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the bounds on requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Keyed reports whether requests need a key, except on public routes.
func (c *Catalog) Keyed() bool { return c.keyed }

// Match returns the route of the host with the longest prefix of the path.
func (c *Catalog) Match(host, path string) (route.Route, bool) {
	for _, r := range c.routes[hostName(host)] {
		if r.Matches(path) {
			return r, true
		}
	}
	return route.Route{}, false
}

// Routes returns the routes of a host, the longest prefix first. The caller
// must not change the slice.
func (c *Catalog) Routes(host string) []route.Route { return c.routes[hostName(host)] }

// Route returns the route of a name.
func (c *Catalog) Route(name string) (route.Route, bool) {
	r, ok := c.named[name]
	return r, ok
}

// Owner returns the customer that holds a key.
func (c *Catalog) Owner(key string) (customer.Customer, bool) {
	name, ok := c.keys[key]
	if !ok || key == "" {
		return customer.Customer{}, false
	}
	one, ok := c.customers[name]
	return one, ok
}

// Customer returns the customer of a name.
func (c *Catalog) Customer(name string) (customer.Customer, bool) {
	one, ok := c.customers[name]
	return one, ok
}

// Customers returns all customers by name. The caller must not change the map.
func (c *Catalog) Customers() map[string]customer.Customer { return c.customers }

// Service returns the service of a name; the zero value where there is none.
func (c *Catalog) Service(name string) service.Service { return c.services[name] }

// Charge returns the tokens of a request that names none.
func (c *Catalog) Charge(customer string) float64 { return max(c.charges[customer], 1) }

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
