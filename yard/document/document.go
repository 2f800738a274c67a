// Package document parses and validates the configuration of an environment,
// which is a single INI text.
package document

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"chervilyard.example/yard/centre"
	"chervilyard.example/yard/customer"
	"chervilyard.example/yard/form"
	"chervilyard.example/yard/key"
	"chervilyard.example/yard/route"
	"chervilyard.example/yard/target"
)

// Policies for an instance whose revision was last confirmed longer than MaxAge ago.
const (
	StaleServe  = "serve"  // continue with the last known revision
	StaleRefuse = "refuse" // refuse requests
)

const (
	maxTokens = 1e12 // limit on rates, in tokens per second, and on bursts, in tokens
	maxSeats  = 64   // limit on the seats of a data centre
)

// Document is a validated configuration. It is immutable and therefore safe for
// concurrent use. The zero value is an empty configuration, under which every
// request is refused.
type Document struct {
	name        string
	stalePolicy string
	maxAge      time.Duration
	quota       QuotaSettings
	regions     []string
	centres     map[string]centre.Centre
	customers   map[string]customer.Customer
	keys        map[string]key.Key // by hash
	routes      map[string]route.Route
	targets     map[string]target.Target
	shares      map[string]map[string][]float64 // fraction of the quota, by customer, data centre and seat
	text        string
}

// QuotaSettings are the settings that govern how quota is distributed, leased and lent.
//
// A seat is a part of a data centre's share of the quotas. One instance holds it
// at a time. It consists of a floating part under a short lease and a kept part
// under a long one.
type QuotaSettings struct {
	FloatingLease time.Duration // lease duration of a seat's floating part
	KeptLease     time.Duration // lease duration of a seat's kept part, at least FloatingLease
	KeptFraction  float64       // fraction of a seat that is its kept part, 0 to 1

	// WitnessExtension allows the holder of a floating part to use it after the
	// lease has expired, but not beyond KeptLease, while the other instances of the
	// data centre promise not to claim it.
	WitnessExtension bool

	LoanDuration   time.Duration // duration of a loan without renewal, at most FloatingLease
	UnlentFraction float64       // fraction of a seat that is never lent, 0 to 1
	MaxClockDrift  float64       // bound on the rate error of a clock, as a fraction

	// MaxSeatsPerCentre is the maximum number of seats in one data centre among which a
	// customer's quota is divided.
	MaxSeatsPerCentre int

	// MinShareBurst is the minimum average burst of a customer's shares, in tokens. A
	// customer whose burst is too small for all seats gets shares in fewer seats, then
	// in fewer data centres and finally in fewer regions, but not in fewer than
	// MinRegions, which takes precedence.
	MinShareBurst float64

	// MinRegions is the minimum number of regions that hold a share of each
	// customer's quota, however small, so that each of them can still serve the
	// customer while it is partitioned from the others. If fewer regions may hold
	// the quota, all of them do.
	MinRegions int
}

// Parse parses and validates an INI text. The name identifies the text in
// errors. A non-nil error is a fault.List of all faults in the text.
func Parse(name, text string) (*Document, error) {
	f := form.Parse(name, text)
	d := &Document{
		centres:   make(map[string]centre.Centre),
		customers: make(map[string]customer.Customer),
		keys:      make(map[string]key.Key),
		routes:    make(map[string]route.Route),
		targets:   make(map[string]target.Target),
		text:      text,
	}
	d.readEnvironment(f)
	d.readQuota(f)
	d.readRegions(f)
	d.readCustomers(f)
	d.readKeys(f)
	d.readRoutes(f)
	d.readTargets(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	d.computeShares()
	return d, nil
}

func (d *Document) readEnvironment(f *form.Form) {
	s := f.Section("environment")
	d.name = s.Need("name")
	d.stalePolicy = s.Choice("stale", StaleServe, StaleRefuse)
	d.maxAge = s.Duration("age", time.Hour, 5*time.Second, 24*365*time.Hour)
}

func (d *Document) readQuota(f *form.Form) {
	s := f.Section("quota")
	d.quota = QuotaSettings{
		FloatingLease: s.Duration("lease", 15*time.Second, time.Second, time.Hour),
		KeptLease:     s.Duration("hold", 4*time.Hour, time.Second, 30*24*time.Hour),
		KeptFraction:  s.Number("kept", 0, 0, 1),

		WitnessExtension: s.Bool("witness", true),

		LoanDuration:   s.Duration("loan", 10*time.Second, time.Second, 5*time.Minute),
		UnlentFraction: s.Number("floor", 0, 0, 1),
		MaxClockDrift:  s.Number("drift", 0.001, 0, 0.5),

		MaxSeatsPerCentre: s.Int("spread", 2, 1, maxSeats),
		MinRegions:        s.Int("reach", 3, 1, 1000),
		MinShareBurst:     s.Number("piece", 2000, 1, maxTokens),
	}
	if d.quota.KeptLease < d.quota.FloatingLease {
		s.AddFault("hold", "is shorter than lease")
	}
	if d.quota.LoanDuration > d.quota.FloatingLease {
		s.AddFault("loan", "is longer than lease, so no part of the floating quota could be lent")
	}
}

func (d *Document) readRegions(f *form.Form) {
	for _, s := range f.Sections("region") {
		d.regions = append(d.regions, s.Label())
	}
	totalWeight := 0.0
	for _, s := range f.Sections("centre") {
		region := s.Need("region")
		if region != "" && !slices.Contains(d.regions, region) {
			s.AddFault("region", fmt.Sprintf("no [region %s]", region))
		}
		weight := s.Number("weight", 1, 0, 1e9)
		seats := s.Int("seats", 1, 1, maxSeats)
		totalWeight += weight
		d.centres[s.Label()] = centre.New(s.Label(), region, weight, seats)
	}
	if len(d.centres) > 0 && totalWeight == 0 {
		f.Section("quota").AddFault("", "every centre has weight 0, so no instance would hold a part of any quota")
	}
}

func (d *Document) readCustomers(f *form.Form) {
	for _, s := range f.Sections("customer") {
		homeRegion := s.Text("home", "")
		if homeRegion != "" && !slices.Contains(d.regions, homeRegion) {
			s.AddFault("home", fmt.Sprintf("no [region %s]", homeRegion))
		}
		rate := s.Number("rate", 0, 0, maxTokens)
		burst := s.Number("burst", 0, 0, maxTokens)
		if rate > 0 && burst < 1 {
			s.AddFault("burst", "is under one token, so that nothing would be admitted")
		}
		if rate > 0 && len(d.eligibleCentres(homeRegion)) == 0 {
			s.AddFault("home", "no centre with a weight may hold the customer's quota")
		}
		weight := s.Number("weight", 1, 0.001, 1e6)
		d.customers[s.Label()] = customer.New(s.Label(), rate, burst, weight, homeRegion)
	}
}

func (d *Document) readKeys(f *form.Form) {
	for _, s := range f.Sections("key") {
		hash := strings.ToLower(s.Need("hash"))
		owner := s.Need("customer")
		if _, ok := d.customers[owner]; owner != "" && !ok {
			s.AddFault("customer", fmt.Sprintf("no [customer %s]", owner))
		}
		if len(hash) != 64 || strings.Trim(hash, "0123456789abcdef") != "" {
			s.AddFault("hash", "is not a SHA-256 in hexadecimal")
		}
		if duplicate, ok := d.keys[hash]; ok {
			s.AddFault("hash", "is already the hash of key "+duplicate.ID())
		}
		d.keys[hash] = key.New(s.Label(), hash, owner)
	}
}

func (d *Document) readRoutes(f *form.Form) {
	for _, s := range f.Sections("route") {
		kind := s.Choice("kind", route.KindModel, route.KindService)
		residency := s.List("residency")
		for _, region := range residency {
			if !slices.Contains(d.regions, region) {
				s.AddFault("residency", fmt.Sprintf("no [region %s]", region))
			}
		}
		openCustomer := s.Text("open", "")
		if _, ok := d.customers[openCustomer]; openCustomer != "" && !ok {
			s.AddFault("open", fmt.Sprintf("no [customer %s] to charge calls without a key to", openCustomer))
		}
		if strings.ContainsAny(s.Label(), "/ ") {
			s.AddFault("", "a route name may contain no spaces and no slashes")
		}
		d.routes[s.Label()] = route.New(
			s.Label(), kind,
			route.WithResidency(residency),
			route.Repeatable(s.Bool("repeatable", kind == route.KindModel)),
			route.Class(s.Choice("class", route.ClassLive, route.ClassBatch)),
			route.Timeout(s.Duration("deadline", 30*time.Second, 10*time.Millisecond, time.Hour)),
			route.WithOpenCustomer(openCustomer),
			route.MaxAnswerTokens(s.Int("limit", 1024, 1, 1<<20)),
			route.MinBytesPerToken(s.Number("bytes", 1, 0.1, 100)),
		)
	}
}

func (d *Document) readTargets(f *form.Form) {
	for _, s := range f.Sections("target") {
		centreName := s.Need("centre")
		if _, ok := d.centres[centreName]; centreName != "" && !ok {
			s.AddFault("centre", fmt.Sprintf("no [centre %s]", centreName))
		}
		routeNames := s.List("serves")
		if len(routeNames) == 0 {
			s.AddFault("serves", "names no route")
		}
		for _, name := range routeNames {
			if _, ok := d.routes[name]; !ok {
				s.AddFault("serves", fmt.Sprintf("no [route %s]", name))
			}
		}
		address := s.Address("address", "")
		if address == "" {
			s.AddFault("address", "a value is needed")
		}
		d.targets[s.Label()] = target.New(
			s.Label(), centreName, address, routeNames,
			s.Int("capacity", 16, 1, 1<<20),
			s.Number("price", 1, 0, 1e6),
			s.Bool("leaving", false),
		)
	}
	d.checkResidency(f)
}

// checkResidency records a fault for each route that no target serves from a
// region that its residency allows.
func (d *Document) checkResidency(f *form.Form) {
	for _, s := range f.Sections("route") {
		r := d.routes[s.Label()]
		served := false
		for _, t := range d.targets {
			served = served || t.Serves(r.Name()) && r.AllowsRegion(d.Region(t.Centre()), "")
		}
		if !served {
			s.AddFault("residency", "no target serves the route inside it")
		}
	}
}

// eligibleCentres returns the data centres that may hold quota of a customer with
// the given home region, sorted by name. They have a positive weight and are in the
// home region; an empty homeRegion allows any region.
func (d *Document) eligibleCentres(homeRegion string) []centre.Centre {
	var eligible []centre.Centre
	for _, name := range slices.Sorted(maps.Keys(d.centres)) {
		c := d.centres[name]
		if c.Weight() > 0 && (homeRegion == "" || c.Region() == homeRegion) {
			eligible = append(eligible, c)
		}
	}
	return eligible
}

// Share returns the fraction of the customer's rate and burst that a seat of a
// data centre holds. The fractions of all seats add up to 1. It returns 0 for an
// unknown customer, data centre or seat.
func (d *Document) Share(customer, centreName string, seat int) float64 {
	seats := d.shares[customer][centreName]
	if seat < 0 || seat >= len(seats) {
		return 0
	}
	return seats[seat]
}

// Name returns the environment's name.
func (d *Document) Name() string { return d.name }

// StalePolicy returns the policy for a stale revision, StaleServe or StaleRefuse.
func (d *Document) StalePolicy() string { return d.stalePolicy }

// MaxAge returns the time after its last confirmation at which a revision becomes
// stale.
func (d *Document) MaxAge() time.Duration { return d.maxAge }

// Quota returns the settings that govern the quotas of customers.
func (d *Document) Quota() QuotaSettings { return d.quota }

// Text returns the INI text that the document was parsed from.
func (d *Document) Text() string { return d.text }

// Centre returns the data centre with the given name and whether it exists.
func (d *Document) Centre(name string) (centre.Centre, bool) {
	c, ok := d.centres[name]
	return c, ok
}

// Region returns the region of a data centre, or "" if the data centre is unknown.
func (d *Document) Region(centreName string) string { return d.centres[centreName].Region() }

// Customer returns the customer with the given name and whether it exists.
func (d *Document) Customer(name string) (customer.Customer, bool) {
	c, ok := d.customers[name]
	return c, ok
}

// Key returns the API key with the given hash, which is a SHA-256 in lower-case
// hexadecimal, and whether it exists.
func (d *Document) Key(hash string) (key.Key, bool) {
	k, ok := d.keys[hash]
	return k, ok
}

// Route returns the route with the given name and whether it exists.
func (d *Document) Route(name string) (route.Route, bool) {
	r, ok := d.routes[name]
	return r, ok
}

// Customers returns all customers, sorted by name.
func (d *Document) Customers() []customer.Customer { return sorted(d.customers) }

// Centres returns all data centres, sorted by name.
func (d *Document) Centres() []centre.Centre { return sorted(d.centres) }

// Routes returns all routes, sorted by name.
func (d *Document) Routes() []route.Route { return sorted(d.routes) }

// Targets returns all targets, sorted by name.
func (d *Document) Targets() []target.Target { return sorted(d.targets) }

// Keys returns all API keys, sorted by hash.
func (d *Document) Keys() []key.Key { return sorted(d.keys) }

// sorted returns the values of m in the order of their keys.
func sorted[T any](m map[string]T) []T {
	all := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		all = append(all, m[name])
	}
	return all
}
