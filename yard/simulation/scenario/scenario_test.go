package scenario_test

import (
	"testing"
	"time"

	"chervilyard.example/yard/simulation"
	"chervilyard.example/yard/simulation/scenario"
)

// targets are the stated bounds on the part of requests refused though inside
// the rate: without failures, and with one.
const (
	withoutFault = 0.001
	withOne      = 0.01
	worstOver    = 0.02 // worst-served customer over the mean
)

// shortened is how much of an hour's script runs here; the quota command runs
// the whole, and the fleet of the planned size, which takes minutes.
const shortened = 10 * time.Minute

// TestQuotaTargets holds the scripts to the stated targets.
func TestQuotaTargets(t *testing.T) {
	scripts, err := scenario.All()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		if s.Regions*s.Centres*s.Seats > 100 {
			continue
		}
		s.Length = min(s.Length, shortened)
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			r, err := simulation.Run(s)
			if err != nil {
				t.Fatal(err)
			}
			bound := withoutFault
			switch len(s.Faults) {
			case 0:
			case 1:
				bound = withOne
			default:
				bound = 1 // several faults at once have no stated target; excess still counts
			}
			if r.Excess > 1e-3 {
				t.Errorf("%v tokens over burst and rate", r.Excess)
			}
			if r.Wrongful <= bound && r.Worst-r.Mean <= worstOver {
				return
			}
			t.Errorf("refused inside the rate %.4f, bound %v; worst customer %.4f, mean %.4f", r.Wrongful, bound, r.Worst, r.Mean)
		})
	}
}
