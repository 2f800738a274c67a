// Package document is an environment's whole configuration: one INI text,
// checked as a whole and then read only.
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

// What an instance does that has heard of no newer revision for longer than Age.
const (
	StaleServe  = "serve"
	StaleRefuse = "refuse"
)

const (
	maxTokens = 1e12
	maxSeats  = 64
)

// Document is a checked configuration. It is immutable, and so safe for
// concurrent use. The zero value knows nothing and refuses everything.
type Document struct {
	name      string
	stale     string
	age       time.Duration
	terms     Terms
	regions   []string
	centres   map[string]centre.Centre
	customers map[string]customer.Customer
	keys      map[string]key.Key // by hash
	routes    map[string]route.Route
	targets   map[string]target.Target
	parts     map[string]map[string][]float64 // by customer, data centre and seat
	text      string
}

// Terms are the times that bound who may use which part of a quota.
type Terms struct {
	Lease time.Duration // how long a seat's floating part lasts without renewal
	Hold  time.Duration // how long a seat's kept part lasts without renewal
	Kept  float64       // part of a seat that is kept for Hold, 0 to 1

	// Witness lets a floating part outlive its lease while the data centre's
	// other instances promise not to claim it.
	Witness bool

	Loan  time.Duration // how long a loan lasts without renewal
	Floor float64       // part of a seat that is never lent, 0 to 1
	Drift float64       // bound on a clock's drift from true time

	// Spread is on how many seats of a data centre one customer's part is at most.
	Spread int

	// Piece is the least burst in tokens that a seat's part should have. A
	// customer whose burst gives fewer pieces than there are seats is held by
	// fewer seats, data centres and at last regions.
	Piece float64

	// Reach is how many regions hold a part of every customer's quota at least,
	// however small, so that each can serve it when it is cut off.
	Reach int
}

// Parse reads and checks a text, which faults call name. The error is a
// fault.List of every fault in it.
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
	if err := f.Close(); err != nil {
		return nil, err
	}
	d.divide()
	return d, nil
}

func (d *Document) readEnvironment(f *form.Form) {
	s := f.Section("environment")
	d.name = s.Need("name")
	d.stale = s.Choice("stale", StaleServe, StaleRefuse)
	d.age = s.Duration("age", time.Hour, 5*time.Second, 24*365*time.Hour)
}

func (d *Document) readQuota(f *form.Form) {
	s := f.Section("quota")
	d.terms = Terms{
		Lease: s.Duration("lease", 15*time.Second, time.Second, time.Hour),
		Hold:  s.Duration("hold", 4*time.Hour, time.Second, 30*24*time.Hour),
		Kept:  s.Number("kept", 0, 0, 1),

		Witness: s.Bool("witness", true),

		Loan:  s.Duration("loan", 10*time.Second, time.Second, 5*time.Minute),
		Floor: s.Number("floor", 0, 0, 1),
		Drift: s.Number("drift", 0.001, 0, 0.5),

		Spread: s.Int("spread", 2, 1, maxSeats),
		Reach:  s.Int("reach", 3, 1, 1000),
		Piece:  s.Number("piece", 2000, 1, maxTokens),
	}
	if d.terms.Hold < d.terms.Lease {
		s.Fault("hold", "is shorter than lease")
	}
	if d.terms.Loan > d.terms.Lease {
		s.Fault("loan", "is longer than lease, so that nothing of the floating part could be lent")
	}
}

func (d *Document) readRegions(f *form.Form) {
	for _, s := range f.Sections("region") {
		d.regions = append(d.regions, s.Label())
	}
	total := 0.0
	for _, s := range f.Sections("centre") {
		region := s.Need("region")
		if region != "" && !slices.Contains(d.regions, region) {
			s.Fault("region", fmt.Sprintf("no [region %s]", region))
		}
		weight := s.Number("weight", 1, 0, 1e9)
		seats := s.Int("seats", 1, 1, maxSeats)
		total += weight
		d.centres[s.Label()] = centre.New(s.Label(), region, weight, seats)
	}
	if len(d.centres) > 0 && total == 0 {
		f.Section("quota").Fault("", "every centre has weight 0, so that no instance holds a part of any quota")
	}
}

func (d *Document) readCustomers(f *form.Form) {
	for _, s := range f.Sections("customer") {
		home := s.Text("home", "")
		if home != "" && !slices.Contains(d.regions, home) {
			s.Fault("home", fmt.Sprintf("no [region %s]", home))
		}
		rate := s.Number("rate", 0, 0, maxTokens)
		burst := s.Number("burst", 0, 0, maxTokens)
		if rate > 0 && burst < 1 {
			s.Fault("burst", "is under one token, so that nothing would be admitted")
		}
		if rate > 0 && len(d.holders(home)) == 0 {
			s.Fault("home", "no centre with a weight may hold the customer's quota")
		}
		weight := s.Number("weight", 1, 0.001, 1e6)
		d.customers[s.Label()] = customer.New(s.Label(), rate, burst, weight, home)
	}
}

func (d *Document) readKeys(f *form.Form) {
	for _, s := range f.Sections("key") {
		hash := strings.ToLower(s.Need("hash"))
		owner := s.Need("customer")
		if _, ok := d.customers[owner]; owner != "" && !ok {
			s.Fault("customer", fmt.Sprintf("no [customer %s]", owner))
		}
		if len(hash) != 64 || strings.Trim(hash, "0123456789abcdef") != "" {
			s.Fault("hash", "is not a SHA-256 in hexadecimal")
		}
		if twin, ok := d.keys[hash]; ok {
			s.Fault("hash", "is that of key "+twin.ID())
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
				s.Fault("residency", fmt.Sprintf("no [region %s]", region))
			}
		}
		open := s.Text("open", "")
		if _, ok := d.customers[open]; open != "" && !ok {
			s.Fault("open", fmt.Sprintf("no [customer %s] to charge calls without a key to", open))
		}
		if strings.ContainsAny(s.Label(), "/ ") {
			s.Fault("", "a route's name holds no space and no slash")
		}
		d.routes[s.Label()] = route.New(
			s.Label(), kind,
			route.Within(residency),
			route.Repeatable(s.Bool("repeatable", kind == route.KindModel)),
			route.Class(s.Choice("class", route.ClassLive, route.ClassBatch)),
			route.Deadline(s.Duration("deadline", 30*time.Second, 10*time.Millisecond, time.Hour)),
			route.Open(open),
			route.Limit(s.Int("limit", 1024, 1, 1<<20)),
			route.Density(s.Number("bytes", 1, 0.1, 100)),
		)
	}
}

func (d *Document) readTargets(f *form.Form) {
	for _, s := range f.Sections("target") {
		at := s.Need("centre")
		if _, ok := d.centres[at]; at != "" && !ok {
			s.Fault("centre", fmt.Sprintf("no [centre %s]", at))
		}
		serves := s.List("serves")
		if len(serves) == 0 {
			s.Fault("serves", "names no route")
		}
		for _, name := range serves {
			if _, ok := d.routes[name]; !ok {
				s.Fault("serves", fmt.Sprintf("no [route %s]", name))
			}
		}
		address := s.Address("address", "")
		if address == "" {
			s.Fault("address", "a value is needed")
		}
		d.targets[s.Label()] = target.New(
			s.Label(), at, address, serves,
			s.Int("capacity", 16, 1, 1<<20),
			s.Number("price", 1, 0, 1e6),
			s.Bool("leaving", false),
		)
	}
	d.checkReach(f)
}

// checkReach records a fault for each route whose residency no target meets.
func (d *Document) checkReach(f *form.Form) {
	for _, s := range f.Sections("route") {
		r := d.routes[s.Label()]
		reached := false
		for _, t := range d.targets {
			reached = reached || t.Serves(r.Name()) && r.Permits(d.Region(t.Centre()), "")
		}
		if !reached {
			s.Fault("residency", "no target serves the route inside it")
		}
	}
}

// holders returns the data centres with a weight that may hold the quota of a
// customer bound to home, by name.
func (d *Document) holders(home string) []centre.Centre {
	var held []centre.Centre
	for _, name := range slices.Sorted(maps.Keys(d.centres)) {
		c := d.centres[name]
		if c.Weight() > 0 && (home == "" || c.Region() == home) {
			held = append(held, c)
		}
	}
	return held
}

// Part returns which fraction of the customer's rate and burst the seat of the
// data centre holds. The fractions of all seats add up to one.
func (d *Document) Part(customer, at string, seat int) float64 {
	seats := d.parts[customer][at]
	if seat < 0 || seat >= len(seats) {
		return 0
	}
	return seats[seat]
}

// Name returns the environment's name.
func (d *Document) Name() string { return d.name }

// Stale returns StaleServe or StaleRefuse.
func (d *Document) Stale() string { return d.stale }

// Age returns how long a revision is fresh after it was last confirmed.
func (d *Document) Age() time.Duration { return d.age }

// Terms returns the times that bound the use of quota.
func (d *Document) Terms() Terms { return d.terms }

// Text returns the INI text that the document was read from.
func (d *Document) Text() string { return d.text }

// Centre returns the data centre of the name.
func (d *Document) Centre(name string) (centre.Centre, bool) {
	c, ok := d.centres[name]
	return c, ok
}

// Region returns the region of the data centre, or "".
func (d *Document) Region(centre string) string { return d.centres[centre].Region() }

// Customer returns the customer of the name.
func (d *Document) Customer(name string) (customer.Customer, bool) {
	c, ok := d.customers[name]
	return c, ok
}

// Key returns the key with the hash.
func (d *Document) Key(hash string) (key.Key, bool) {
	k, ok := d.keys[hash]
	return k, ok
}

// Route returns the route of the name.
func (d *Document) Route(name string) (route.Route, bool) {
	r, ok := d.routes[name]
	return r, ok
}

// Customers returns all customers by name.
func (d *Document) Customers() []customer.Customer { return sorted(d.customers) }

// Centres returns all data centres by name.
func (d *Document) Centres() []centre.Centre { return sorted(d.centres) }

// Routes returns all routes by name.
func (d *Document) Routes() []route.Route { return sorted(d.routes) }

// Targets returns all targets by name.
func (d *Document) Targets() []target.Target { return sorted(d.targets) }

// Keys returns all keys by hash.
func (d *Document) Keys() []key.Key { return sorted(d.keys) }

func sorted[T any](m map[string]T) []T {
	all := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		all = append(all, m[name])
	}
	return all
}
