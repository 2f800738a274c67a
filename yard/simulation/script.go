package simulation

import (
	"fmt"
	"math"
	"strings"
	"time"

	"chervilyard.example/yard/form"
)

// Script describes one run: the fleet, the customers' demand over time, and the
// injected faults.
type Script struct {
	Name      string
	Length    time.Duration
	Warm      time.Duration // warm-up; requests in it are not counted
	Seed      uint64
	Audit     time.Duration // interval of checks that the instances' shares do not overlap; 0 for none
	Regions   int
	Centres   int           // in each region
	Spread    int           // largest number of seats in a data centre that hold one customer's quota
	Piece     float64       // smallest burst per seat, in tokens
	Seats     int           // in each data centre, which starts with as many instances
	Kept      float64       // fraction of a seat that stays with its holder for Hold
	Witness   bool          // witnesses may extend a floating part beyond its lease
	Hold      time.Duration // lifetime of the kept part without renewal
	Lease     time.Duration // lifetime of the floating part without renewal
	Loss      float64       // fraction of messages lost
	Double    float64       // fraction of messages delivered twice
	Drift     float64       // largest relative error of a clock's rate
	Anywhere  bool          // callers do not use /locate and choose any instance
	Customers []Customer
	Demands   []Demand
	Faults    []Fault
}

// Customer is one customer of a script, or Count customers with the same
// settings.
type Customer struct {
	Name   string
	Count  int
	Rate   float64 // tokens per second
	Burst  float64 // tokens
	Tokens float64 // mean reservation of a request
	Spare  float64 // largest fraction of its reservation that a request does not use
}

// Demand is the load of a customer as a fraction of its rate. Region is one
// region, "" for requests in random regions, or "moving" for demand that moves
// from region to region.
type Demand struct {
	Customer string
	Region   string
	From, To time.Duration // since the start of the run
	Part     float64       // of the customer's rate; above 1 is overload
	Turn     time.Duration // how long moving demand stays in one region
}

// Kinds of Fault.
const (
	Crash = "crash" // an instance crashes; one starts after For, or none if For is 0
	Cut   = "cut"   // a region loses the connection to all other regions; the store is in region 0
	Store = "store" // the store is unavailable
	Lose  = "lose"  // writes to the store take effect but their replies are lost
	Pause = "pause" // an instance does not run for a time
	Rate  = "rate"  // a new document multiplies the script's rates and bursts by Factor
	Alone = "alone" // an instance loses the connection to the store only
)

// Fault is a fault injected at a time of the run. Fields that its kind does not
// use are ignored.
type Fault struct {
	Kind     string
	At, For  time.Duration // start since the start of the run, and length
	Instance int           // modulo the number of instances
	Region   int
	Moved    bool // the instance that starts after a crash has a new address
	Factor   float64
}

// maxTokens limits rates, bursts and token counts of a script.
const maxTokens = 1e9

// ParseScript parses the INI text of a script. Its error is a fault.List.
func ParseScript(name, text string) (*Script, error) {
	f := form.Parse(name, text)
	s := &Script{Name: name}
	s.readFleet(f.Section("fleet"))
	for _, c := range f.Sections("customer") {
		s.Customers = append(s.Customers, Customer{
			Name: c.Label(), Count: c.Int("count", 1, 1, 10000),
			Rate: c.Number("rate", 1000, 0, maxTokens), Burst: c.Number("burst", 10000, 0, maxTokens),
			Tokens: c.Number("tokens", 200, 1, maxTokens), Spare: c.Number("spare", 0.5, 0, 1),
		})
	}
	for _, d := range f.Sections("demand") {
		s.Demands = append(s.Demands, Demand{
			Customer: d.Need("customer"), Region: d.Text("region", ""),
			From: d.Duration("from", 0, 0, 1e6*time.Second), To: d.Duration("to", s.Length, 0, 1e6*time.Second),
			Part: d.Number("part", 0.8, 0, 100), Turn: d.Duration("turn", time.Minute, time.Second, time.Hour),
		})
	}
	for _, x := range f.Sections("fault") {
		s.Faults = append(s.Faults, Fault{
			Kind: x.Choice("kind", Crash, Cut, Store, Lose, Pause, Rate, Alone),
			At:   x.Duration("at", 0, 0, 1e6*time.Second), For: x.Duration("for", 0, 0, 1e6*time.Second),
			Instance: x.Int("instance", 0, 0, 10000), Region: x.Int("region", 0, 0, 1000),
			Moved: x.Bool("moved", false), Factor: x.Number("factor", 1, 0, 100),
		})
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Script) readFleet(f *form.Section) {
	s.Length = f.Duration("length", 5*time.Minute, time.Second, 1e6*time.Second)
	s.Warm = f.Duration("warm", 30*time.Second, 0, time.Hour)
	s.Seed = uint64(f.Int("seed", 1, 0, math.MaxInt32))
	s.Regions = f.Int("regions", 3, 1, 100)
	s.Centres = f.Int("centres", 1, 1, 10)
	s.Seats = f.Int("seats", 3, 1, 64)
	s.Kept = f.Number("kept", 0, 0, 1)
	s.Spread = f.Int("spread", 2, 1, 64)
	s.Piece = f.Number("piece", 2000, 1, maxTokens)
	s.Witness = f.Bool("witness", true)
	s.Hold = f.Duration("hold", 4*time.Hour, time.Second, 100*time.Hour)
	s.Lease = f.Duration("lease", 15*time.Second, time.Second, time.Hour)
	s.Loss = f.Number("loss", 0, 0, 1)
	s.Double = f.Number("double", 0, 0, 1)
	s.Drift = f.Number("drift", 0.0005, 0, 0.01)
	s.Anywhere = f.Bool("anywhere", false)
}

// document returns the INI text of the environment document for the script,
// with all rates and bursts multiplied by factor.
func (s *Script) document(factor float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[environment]\nname = simulation\n[quota]\nkept = %v\nwitness = %v\nhold = %v\nlease = %v\nloan = %v\ndrift = %v\nspread = %d\npiece = %v\n", s.Kept, s.Witness, s.Hold, s.Lease, min(s.Lease, 10*time.Second), max(s.Drift, 0.001), s.Spread, s.Piece)
	for r := range s.Regions {
		fmt.Fprintf(&b, "[region r%d]\n", r)
		for c := range s.Centres {
			fmt.Fprintf(&b, "[centre r%d-%d]\nregion = r%d\nseats = %d\n", r, c, r, s.Seats)
		}
	}
	for _, c := range s.Customers {
		for n := range c.Count {
			fmt.Fprintf(&b, "[customer %s]\nrate = %v\nburst = %v\n", customerName(c, n), c.Rate*factor, c.Burst*factor)
		}
	}
	return b.String()
}

// customerName returns the name of the customer with index n of c.
func customerName(c Customer, n int) string {
	if c.Count == 1 {
		return c.Name
	}
	return fmt.Sprintf("%s-%d", c.Name, n)
}
