package simulation

import (
	"fmt"
	"math"
	"strings"
	"time"

	"chervilyard.example/yard/form"
)

// Script is one scripted run: a fleet, its customers' demand over time, and
// the faults that befall it.
type Script struct {
	Name      string
	Length    time.Duration
	Warm      time.Duration // not counted at the start
	Seed      uint64
	Audit     time.Duration // between sums of all shares; 0 for none
	Regions   int
	Centres   int // in each region
	Spread    int
	Piece     float64
	Seats     int // and instances in each data centre
	Kept      float64
	Witness   bool
	Hold      time.Duration
	Lease     time.Duration
	Loss      float64 // part of messages lost
	Double    float64 // part of messages delivered twice
	Drift     float64 // clocks differ by up to this part
	Anywhere  bool    // callers ignore /locate
	Customers []Customer
	Demands   []Demand
	Faults    []Fault
}

// Customer is one customer of a script, or Count alike ones.
type Customer struct {
	Name   string
	Count  int
	Rate   float64
	Burst  float64
	Tokens float64 // mean of a request
	Spare  float64 // part of a request's reservation that it does not use
}

// Demand is what a customer asks for, as a part of its rate, in one region or
// spread over all ("") or moving from region to region ("moving").
type Demand struct {
	Customer string
	Region   string
	From, To time.Duration
	Part     float64
	Turn     time.Duration // of moving demand in one region
}

// The kinds of fault.
const (
	Crash = "crash" // an instance ends without a word; For later one starts
	Cut   = "cut"   // a region is separated from all others and the store
	Store = "store" // the store refuses every call
	Lose  = "lose"  // the store's writes take effect and are not answered
	Pause = "pause" // an instance stands still
	Rate  = "rate"  // the document changes all rates and bursts by Factor
	Alone = "alone" // an instance is separated from the store only
)

// Fault is one fault of a script.
type Fault struct {
	Kind     string
	At, For  time.Duration
	Instance int
	Region   int
	Moved    bool // a crashed instance starts at another address
	Factor   float64
}

const most = 1e9

// ParseScript reads a script's INI text; the error is a fault.List.
func ParseScript(name, text string) (*Script, error) {
	f := form.Parse(name, text)
	s := &Script{Name: name}
	s.readFleet(f.Section("fleet"))
	for _, c := range f.Sections("customer") {
		s.Customers = append(s.Customers, Customer{
			Name: c.Label(), Count: c.Int("count", 1, 1, 10000),
			Rate: c.Number("rate", 1000, 0, most), Burst: c.Number("burst", 10000, 0, most),
			Tokens: c.Number("tokens", 200, 1, most), Spare: c.Number("spare", 0.5, 0, 1),
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
	s.Piece = f.Number("piece", 2000, 1, most)
	s.Witness = f.Bool("witness", true)
	s.Hold = f.Duration("hold", 4*time.Hour, time.Second, 100*time.Hour)
	s.Lease = f.Duration("lease", 15*time.Second, time.Second, time.Hour)
	s.Loss = f.Number("loss", 0, 0, 1)
	s.Double = f.Number("double", 0, 0, 1)
	s.Drift = f.Number("drift", 0.0005, 0, 0.01)
	s.Anywhere = f.Bool("anywhere", false)
}

// document returns the environment's document of the script, with all rates
// and bursts multiplied by the factor.
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
			fmt.Fprintf(&b, "[customer %s]\nrate = %v\nburst = %v\n", member(c, n), c.Rate*factor, c.Burst*factor)
		}
	}
	return b.String()
}

func member(c Customer, n int) string {
	if c.Count == 1 {
		return c.Name
	}
	return fmt.Sprintf("%s-%d", c.Name, n)
}
