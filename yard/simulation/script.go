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
	Name              string
	Length            time.Duration
	WarmUp            time.Duration // initial time whose requests are not counted
	Seed              uint64
	AuditInterval     time.Duration // interval of checks that the instances' shares do not overlap; 0 for none, as after ParseScript
	Regions           int
	CentresPerRegion  int           // in each region
	MaxSeatsPerCentre int           // largest number of seats in a data centre that hold one customer's quota
	MinShareBurst     float64       // smallest burst per seat, in tokens
	SeatsPerCentre    int           // in each data centre, which starts with as many instances
	KeptFraction      float64       // fraction of a seat that stays with its holder for KeptLease
	WitnessExtension  bool          // witnesses may extend a floating part beyond its lease
	KeptLease         time.Duration // lifetime of the kept part without renewal
	FloatingLease     time.Duration // lifetime of the floating part without renewal
	LossRate          float64       // fraction of loan messages and heartbeats lost; the replies to heartbeats are never lost
	DuplicationRate   float64       // fraction of loan requests and returns delivered twice
	MaxClockDrift     float64       // largest relative error of a clock's rate
	IgnoreLocate      bool          // callers do not use /locate and choose any instance
	Customers         []Customer
	Demands           []Demand
	Faults            []Fault
}

// Customer is one customer of a script, or Count customers with the same
// settings.
type Customer struct {
	Name              string
	Count             int
	Rate              float64 // tokens per second
	Burst             float64 // tokens
	MeanRequestTokens float64 // mean reservation of a request
	MaxUnusedFraction float64 // largest fraction of its reservation that a request does not use
}

// Demand is the load of a customer as a fraction of its rate. Region is a region
// such as "r0", "" for requests in random regions, or "moving" for demand that
// moves from region to region.
type Demand struct {
	Customer       string
	Region         string
	From, To       time.Duration // since the start of the run
	RateFraction   float64       // of the customer's rate; above 1 is overload
	RegionDuration time.Duration // how long moving demand stays in one region
}

// Kinds of Fault.
const (
	Crash            = "crash" // an instance crashes; it or a new one starts after Duration, or none if that is 0
	IsolateRegion    = "cut"   // a region loses the connection to all other regions; the store is in region 0
	StoreOutage      = "store" // the store is unavailable
	LoseStoreReplies = "lose"  // writes to the store take effect but their replies are lost
	Pause            = "pause" // an instance does not run
	ChangeRates      = "rate"  // a new document multiplies the script's rates and bursts by Factor
	IsolateFromStore = "alone" // an instance loses the connection to the store only
)

// Fault is a fault injected at a time of the run. Fields that its kind does not
// use are ignored.
type Fault struct {
	Kind            string
	Start, Duration time.Duration // time since the start of the run, and length of the fault
	Instance        int           // modulo the number of instances
	Region          int           // index; region 1 is "r1"
	NewAddress      bool          // the instance that starts after a crash has a new address
	Factor          float64
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
			MeanRequestTokens: c.Number("tokens", 200, 1, maxTokens), MaxUnusedFraction: c.Number("spare", 0.5, 0, 1),
		})
	}
	for _, d := range f.Sections("demand") {
		s.Demands = append(s.Demands, Demand{
			Customer: d.Need("customer"), Region: d.Text("region", ""),
			From: d.Duration("from", 0, 0, 1e6*time.Second), To: d.Duration("to", s.Length, 0, 1e6*time.Second),
			RateFraction: d.Number("part", 0.8, 0, 100), RegionDuration: d.Duration("turn", time.Minute, time.Second, time.Hour),
		})
	}
	for _, x := range f.Sections("fault") {
		s.Faults = append(s.Faults, Fault{
			Kind:  x.Choice("kind", Crash, IsolateRegion, StoreOutage, LoseStoreReplies, Pause, ChangeRates, IsolateFromStore),
			Start: x.Duration("at", 0, 0, 1e6*time.Second), Duration: x.Duration("for", 0, 0, 1e6*time.Second),
			Instance: x.Int("instance", 0, 0, 10000), Region: x.Int("region", 0, 0, 1000),
			NewAddress: x.Bool("moved", false), Factor: x.Number("factor", 1, 0, 100),
		})
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Script) readFleet(f *form.Section) {
	s.Length = f.Duration("length", 5*time.Minute, time.Second, 1e6*time.Second)
	s.WarmUp = f.Duration("warm", 30*time.Second, 0, time.Hour)
	s.Seed = uint64(f.Int("seed", 1, 0, math.MaxInt32))
	s.Regions = f.Int("regions", 3, 1, 100)
	s.CentresPerRegion = f.Int("centres", 1, 1, 10)
	s.SeatsPerCentre = f.Int("seats", 3, 1, 64)
	s.KeptFraction = f.Number("kept", 0, 0, 1)
	s.MaxSeatsPerCentre = f.Int("spread", 2, 1, 64)
	s.MinShareBurst = f.Number("piece", 2000, 1, maxTokens)
	s.WitnessExtension = f.Bool("witness", true)
	s.KeptLease = f.Duration("hold", 4*time.Hour, time.Second, 100*time.Hour)
	s.FloatingLease = f.Duration("lease", 15*time.Second, time.Second, time.Hour)
	s.LossRate = f.Number("loss", 0, 0, 1)
	s.DuplicationRate = f.Number("double", 0, 0, 1)
	s.MaxClockDrift = f.Number("drift", 0.0005, 0, 0.01)
	s.IgnoreLocate = f.Bool("anywhere", false)
}

// document returns the INI text of the environment document for the script,
// with all rates and bursts multiplied by factor.
func (s *Script) document(factor float64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[environment]\nname = simulation\n[quota]\nkept = %v\nwitness = %v\nhold = %v\nlease = %v\nloan = %v\ndrift = %v\nspread = %d\npiece = %v\n", s.KeptFraction, s.WitnessExtension, s.KeptLease, s.FloatingLease, min(s.FloatingLease, 10*time.Second), max(s.MaxClockDrift, 0.001), s.MaxSeatsPerCentre, s.MinShareBurst)
	for r := range s.Regions {
		fmt.Fprintf(&b, "[region r%d]\n", r)
		for c := range s.CentresPerRegion {
			fmt.Fprintf(&b, "[centre r%d-%d]\nregion = r%d\nseats = %d\n", r, c, r, s.SeatsPerCentre)
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
