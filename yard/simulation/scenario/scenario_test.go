package scenario_test

import (
	"testing"
	"time"

	"chervilyard.example/yard/simulation"
	"chervilyard.example/yard/simulation/scenario"
)

// Upper bounds on Report.RefusedFraction, and on the difference between the
// largest fraction of a customer and the mean of all customers.
const (
	maxRefusedWithoutFault = 0.001
	maxRefusedWithOneFault = 0.01
	maxWorstAboveMean      = 0.02
)

// maxLength limits the length of the scripts in this test. The quota command of
// chervilstand runs them in full, and also fleet-360, the planned fleet of 360
// instances, which takes minutes.
const maxLength = 10 * time.Minute

// TestQuotaTargets checks the scripts of up to 100 instances against the bounds
// on refusals, and that no customer exceeds its rate and burst.
func TestQuotaTargets(t *testing.T) {
	scripts, err := scenario.All()
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		if s.Regions*s.CentresPerRegion*s.SeatsPerCentre > 100 {
			continue
		}
		s.Length = min(s.Length, maxLength)
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			r, err := simulation.Run(s)
			if err != nil {
				t.Fatal(err)
			}
			bound := maxRefusedWithoutFault
			switch len(s.Faults) {
			case 0:
			case 1:
				bound = maxRefusedWithOneFault
			default:
				bound = 1 // several faults have no bound on refusals; the other checks still apply
			}
			if r.ExcessTokens > 1e-3 {
				t.Errorf("%v tokens admitted over burst and rate", r.ExcessTokens)
			}
			if r.RefusedFraction <= bound && r.MaxCustomerRefusedFraction-r.MeanCustomerRefusedFraction <= maxWorstAboveMean {
				return
			}
			t.Errorf("fraction refused inside the rate %.4f, bound %v; worst customer %.4f, mean %.4f", r.RefusedFraction, bound, r.MaxCustomerRefusedFraction, r.MeanCustomerRefusedFraction)
		})
	}
}
