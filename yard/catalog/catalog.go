// Package catalog indexes the operator's configuration for request processing:
// routes by host and path, customers by API key, services, and limits.
package catalog

import (
	"net"
	"slices"
	"strings"
	"time"

	"chervilyard.example/yard/customer"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/service"
)

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes   int64         // maximum size of a request body in bytes; 0 means no limit
	MaxHeaderBytes int64         // maximum size of a request header in bytes; 0 if it is not named
	HeaderTimeout  time.Duration // for receiving a request header; 0 if it is not named
	IdleTimeout    time.Duration // of an idle connection; 0 if it is not named
}

// Catalog is one version of the configuration. It is immutable and therefore safe
// for concurrent use. The zero value has no routes and no customers.
type Catalog struct {
	version       int64
	limits        Limits
	requireKey    bool
	routesByHost  map[string][]route.Route // by lower-case host, longest path prefix first
	routesByName  map[string]route.Route
	customers     map[string]customer.Customer
	customerByKey map[string]string // customer name by key
	services      map[string]service.Service
	defaultTokens map[string]float64 // by customer
	mostUrgent    map[string]int     // lowest priority number of the routes to a service
	hasLesser     map[string]bool    // services with routes of different priorities
}

// Config is the input of New.
type Config struct {
	Version       int64
	Limits        Limits
	Routes        []route.Route
	Services      []service.Service
	Customers     []customer.Customer
	CustomerByKey map[string]string  // customer name by key
	DefaultTokens map[string]float64 // quota tokens charged for a request that states no token count, by customer
}

// New returns a catalog of the content of cfg. It keeps references to
// CustomerByKey and DefaultTokens, which the caller must not change afterwards.
func New(cfg Config) *Catalog {
	c := &Catalog{
		version:       cfg.Version,
		limits:        cfg.Limits,
		requireKey:    len(cfg.Customers) > 0,
		routesByHost:  make(map[string][]route.Route),
		routesByName:  make(map[string]route.Route, len(cfg.Routes)),
		customers:     make(map[string]customer.Customer, len(cfg.Customers)),
		customerByKey: cfg.CustomerByKey,
		services:      make(map[string]service.Service, len(cfg.Services)),
		defaultTokens: cfg.DefaultTokens,
		mostUrgent:    make(map[string]int),
		hasLesser:     make(map[string]bool),
	}
	for _, r := range cfg.Routes {
		host := strings.ToLower(r.Host())
		c.routesByHost[host] = append(c.routesByHost[host], r)
		c.routesByName[r.Name()] = r
		for _, s := range r.Services() {
			lowest, ok := c.mostUrgent[s.Service]
			c.hasLesser[s.Service] = c.hasLesser[s.Service] || ok && r.Priority() != lowest
			if !ok || r.Priority() < lowest {
				c.mostUrgent[s.Service] = r.Priority()
			}
		}
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b route.Route) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	for _, cust := range cfg.Customers {
		c.customers[cust.Name()] = cust
	}
	for _, s := range cfg.Services {
		c.services[s.Name()] = s
	}
	return c
}

// Version returns the version of the configuration, which increases with each
// change by the operator.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits on requests.
func (c *Catalog) Limits() Limits { return c.limits }

// RequiresKey reports whether requests to routes that are not public require a key.
// That is so if the configuration has any customer.
func (c *Catalog) RequiresKey() bool { return c.requireKey }

// Match returns the route of the host whose prefix is the longest match of the
// path. The host may have a port.
func (c *Catalog) Match(host, path string) (route.Route, bool) {
	for _, r := range c.routesByHost[normalizeHost(host)] {
		if r.Matches(path) {
			return r, true
		}
	}
	return route.Route{}, false
}

// Routes returns the routes of a host, longest path prefix first. The host may have
// a port. The caller must not change the slice.
func (c *Catalog) Routes(host string) []route.Route { return c.routesByHost[normalizeHost(host)] }

// Route returns the route with the given name.
func (c *Catalog) Route(name string) (route.Route, bool) {
	r, ok := c.routesByName[name]
	return r, ok
}

// CustomerByKey returns the customer that an API key belongs to.
func (c *Catalog) CustomerByKey(key string) (customer.Customer, bool) {
	name, ok := c.customerByKey[key]
	if !ok || key == "" {
		return customer.Customer{}, false
	}
	cust, ok := c.customers[name]
	return cust, ok
}

// Customer returns the customer with the given name.
func (c *Catalog) Customer(name string) (customer.Customer, bool) {
	cust, ok := c.customers[name]
	return cust, ok
}

// Customers returns all customers, keyed by name. The caller must not change the
// map.
func (c *Catalog) Customers() map[string]customer.Customer { return c.customers }

// Service returns the service with the given name, or the zero value if there is
// none.
func (c *Catalog) Service(name string) service.Service { return c.services[name] }

// IsLesser reports whether requests of the given priority are less urgent than those of another
// route to the same service.
func (c *Catalog) IsLesser(service string, priority int) bool {
	lowest, ok := c.mostUrgent[service]
	return ok && priority > lowest
}

// HasLesser reports whether requests to the service can be less urgent than others.
func (c *Catalog) HasLesser(service string) bool { return c.hasLesser[service] }

// DefaultTokens returns the quota tokens that a customer is charged for a request that
// states no token count, at least 1.
func (c *Catalog) DefaultTokens(customer string) float64 { return max(c.defaultTokens[customer], 1) }

// normalizeHost returns the value of a Host header in lower case and without port.
func normalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
