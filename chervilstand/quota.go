package main

import (
	"fmt"
	"path"
	"sync"
	"time"

	"chervilyard.example/yard/simulation"
	"chervilyard.example/yard/simulation/scenario"
)

type quotaCommand struct {
	Script  string        `long:"script" default:"*" value-name:"PATTERN" description:"glob pattern of the names of the scripts to run"`
	Seeds   int           `long:"seeds" default:"1" description:"number of runs of each script, each with its own seed; the mean is printed"`
	Ways    bool          `long:"ways" description:"run each script with every policy for holding seats through a store outage"`
	Spread  int           `long:"spread" description:"number of seats of a data centre that share one customer's quota; 0 for the script's value"`
	Workers int           `long:"workers" default:"4" description:"number of scripts to run in parallel"`
	Length  time.Duration `long:"length" description:"simulated duration of each run; 0 for the script's value"`
}

// seatPolicy is a policy for holding seats while the store is unavailable.
type seatPolicy struct {
	name    string
	kept    float64 // fraction of a seat's quota that its holder may use for the kept lease without renewing it
	witness bool    // witnesses may extend a floating part beyond its lease
}

var seatPolicies = []seatPolicy{
	{"lease alone", 0, false},
	{"half kept", 0.5, false},
	{"hold alone", 1, false},
	{"witnesses", 0, true},
	{"witnesses, quarter kept", 0.25, true},
}

// Execute runs the matching scripts and prints a table with a row for each script
// or, with Ways set, for each script and policy.
func (c *quotaCommand) Execute([]string) error {
	scripts, err := scenario.All()
	if err != nil {
		return err
	}
	var runs []*simulation.Script
	for _, s := range scripts {
		if ok, err := path.Match(c.Script, s.Name); err != nil || !ok {
			if err != nil {
				return err
			}
			continue
		}
		runs = append(runs, c.variants(s)...)
	}
	fmt.Println(simulation.TableHeading)
	return c.runParallel(runs)
}

// variants applies the flags to the script s and returns it, or a copy of it for
// each policy if Ways is set.
func (c *quotaCommand) variants(s *simulation.Script) []*simulation.Script {
	if c.Spread > 0 {
		s.MaxSeatsPerCentre = c.Spread
	}
	if c.Length > 0 {
		s.Length = c.Length
	}
	if !c.Ways {
		return []*simulation.Script{s}
	}
	var copies []*simulation.Script
	for _, p := range seatPolicies {
		variant := *s
		variant.Name = s.Name + ": " + p.name
		variant.KeptFraction, variant.WitnessExtension = p.kept, p.witness
		copies = append(copies, &variant)
	}
	return copies
}

// runParallel runs the scripts, up to Workers at a time. When all have ended, it
// prints the reports in the order of the scripts up to the first that failed.
func (c *quotaCommand) runParallel(runs []*simulation.Script) error {
	reports := make([]simulation.Report, len(runs))
	errs := make([]error, len(runs))
	semaphore := make(chan struct{}, max(c.Workers, 1))
	var wg sync.WaitGroup
	for i, s := range runs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			reports[i], errs[i] = c.runSeeds(s)
		}()
	}
	wg.Wait()
	for i := range runs {
		if errs[i] != nil {
			return errs[i]
		}
		fmt.Println(reports[i])
	}
	return nil
}

// runSeeds runs a script with successive seeds and returns the mean of the reports.
func (c *quotaCommand) runSeeds(s *simulation.Script) (simulation.Report, error) {
	var reports []simulation.Report
	for n := range max(c.Seeds, 1) {
		variant := *s
		variant.Seed += uint64(n)
		r, err := simulation.Run(&variant)
		if err != nil {
			return simulation.Report{}, err
		}
		reports = append(reports, r)
	}
	return simulation.MeanReport(reports), nil
}
