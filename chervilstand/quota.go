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
	Script  string        `long:"script" default:"*" value-name:"PATTERN" description:"scripts to run, by name"`
	Seeds   int           `long:"seeds" default:"1" description:"runs of each script with other seeds; the figures are their mean"`
	Ways    bool          `long:"ways" description:"compare the ways to hold seats through a store outage"`
	Spread  int           `long:"spread" description:"seats of a data centre that hold one customer's quota; 0 for the script's"`
	Workers int           `long:"workers" default:"4" description:"scripts that run at once"`
	Length  time.Duration `long:"length" description:"length of each run; 0 for the script's"`
}

// way is one way to hold seats.
type way struct {
	name    string
	kept    float64
	witness bool
}

var ways = []way{
	{"lease alone", 0, false},
	{"half kept", 0.5, false},
	{"hold alone", 1, false},
	{"witnesses", 0, true},
	{"witnesses, quarter kept", 0.25, true},
}

// Execute runs the scripts and prints one line of a table for each.
func (c *quotaCommand) Execute([]string) error {
	scripts, err := scenario.All()
	if err != nil {
		return err
	}
	var jobs []*simulation.Script
	for _, s := range scripts {
		if ok, err := path.Match(c.Script, s.Name); err != nil || !ok {
			if err != nil {
				return err
			}
			continue
		}
		jobs = append(jobs, c.variants(s)...)
	}
	fmt.Println(simulation.Heading)
	return c.runAll(jobs)
}

func (c *quotaCommand) variants(s *simulation.Script) []*simulation.Script {
	if c.Spread > 0 {
		s.Spread = c.Spread
	}
	if c.Length > 0 {
		s.Length = c.Length
	}
	if !c.Ways {
		return []*simulation.Script{s}
	}
	var list []*simulation.Script
	for _, w := range ways {
		v := *s
		v.Name = s.Name + ": " + w.name
		v.Kept, v.Witness = w.kept, w.witness
		list = append(list, &v)
	}
	return list
}

// runAll runs the scripts on several workers and prints the lines in order.
func (c *quotaCommand) runAll(jobs []*simulation.Script) error {
	reports := make([]simulation.Report, len(jobs))
	errs := make([]error, len(jobs))
	slots := make(chan struct{}, max(c.Workers, 1))
	var wait sync.WaitGroup
	for i, s := range jobs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			reports[i], errs[i] = c.mean(s)
		}()
	}
	wait.Wait()
	for i := range jobs {
		if errs[i] != nil {
			return errs[i]
		}
		fmt.Println(reports[i])
	}
	return nil
}

func (c *quotaCommand) mean(s *simulation.Script) (simulation.Report, error) {
	var all []simulation.Report
	for n := range max(c.Seeds, 1) {
		v := *s
		v.Seed += uint64(n)
		r, err := simulation.Run(&v)
		if err != nil {
			return simulation.Report{}, err
		}
		all = append(all, r)
	}
	return simulation.Mean(all), nil
}
