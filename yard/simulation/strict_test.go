package simulation_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/simulation"
)

// A fixed seed makes every run try the same schedules.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Tolerances for floating-point rounding.
const (
	excessToleranceTokens = 1e-3
	overlapTolerance      = 1e-9 // fraction of the customer's quota
)

func drawFault(t *rapid.T, length time.Duration) simulation.Fault {
	kinds := []string{simulation.Crash, simulation.IsolateRegion, simulation.StoreOutage, simulation.LoseStoreReplies, simulation.Pause, simulation.ChangeRates, simulation.IsolateFromStore}
	return simulation.Fault{
		Kind:       rapid.SampledFrom(kinds).Draw(t, "kind"),
		Start:      time.Duration(rapid.Int64Range(0, int64(length)).Draw(t, "at")),
		Duration:   time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(length/2)).Draw(t, "for")),
		Instance:   rapid.IntRange(0, 3).Draw(t, "instance"),
		Region:     rapid.IntRange(0, 2).Draw(t, "region"),
		NewAddress: rapid.Bool().Draw(t, "moved"),
		Factor:     rapid.Float64Range(0.2, 3).Draw(t, "factor"),
	}
}

func drawScript(t *rapid.T) *simulation.Script {
	length := 60 * time.Second
	s := &simulation.Script{
		Name: "strict", Length: length, AuditInterval: 100 * time.Millisecond, Seed: rapid.Uint64().Draw(t, "seed"),
		Regions: rapid.IntRange(1, 3).Draw(t, "regions"), CentresPerRegion: rapid.IntRange(1, 2).Draw(t, "centres"),
		SeatsPerCentre: rapid.IntRange(1, 3).Draw(t, "seats"), MaxSeatsPerCentre: rapid.IntRange(1, 3).Draw(t, "spread"), MinShareBurst: rapid.SampledFrom([]float64{1, 300}).Draw(t, "piece"),
		KeptFraction: rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "kept"), WitnessExtension: rapid.Bool().Draw(t, "witness"),
		FloatingLease:   rapid.SampledFrom([]time.Duration{2 * time.Second, 4 * time.Second}).Draw(t, "lease"),
		KeptLease:       rapid.SampledFrom([]time.Duration{5 * time.Second, 20 * time.Second}).Draw(t, "hold"),
		LossRate:        rapid.SampledFrom([]float64{0, 0.05, 0.4}).Draw(t, "loss"),
		DuplicationRate: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double"),
		MaxClockDrift:   rapid.SampledFrom([]float64{0, 0.004}).Draw(t, "drift"), IgnoreLocate: rapid.Bool().Draw(t, "anywhere"),
		Customers: []simulation.Customer{{Name: "c", Count: 1, Rate: 400, Burst: rapid.SampledFrom([]float64{500, 2000}).Draw(t, "burst"), MeanRequestTokens: 60, MaxUnusedFraction: rapid.SampledFrom([]float64{0, 0.9}).Draw(t, "spare")}},
	}
	s.Demands = []simulation.Demand{{Customer: "c", Region: rapid.SampledFrom([]string{"", "r0", "moving"}).Draw(t, "where"), To: length, RateFraction: rapid.SampledFrom([]float64{0.7, 4}).Draw(t, "part"), RegionDuration: 10 * time.Second}}
	for range rapid.IntRange(0, 8).Draw(t, "faults") {
		s.Faults = append(s.Faults, drawFault(t, length))
	}
	return s
}

// TestScriptsStayWithinQuota guards against admission above burst + rate x
// window, and against overlapping shares, in schedules of faults that broke these
// rules or were suspected to. Each script in testdata/strict describes its
// schedule.
func TestScriptsStayWithinQuota(t *testing.T) {
	files, err := filepath.Glob("testdata/strict/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in testdata/strict: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := simulation.ParseScript(file, string(text))
		if err != nil {
			t.Fatal(err)
		}
		s.AuditInterval = 20 * time.Millisecond
		r, err := simulation.Run(s)
		if err != nil {
			t.Fatal(err)
		}
		if r.OverlapFraction > overlapTolerance || r.ExcessTokens > excessToleranceTokens {
			t.Errorf("%s: shares add up to more than the whole quota, by the fraction %v; %v tokens over burst and rate", file, r.OverlapFraction, r.ExcessTokens)
		}
		if r.Requests == 0 {
			t.Errorf("%s: no request after the warm-up", file)
		}
	}
}

// TestRandomSchedulesStayWithinQuota checks for random schedules of demand and
// faults that no window admits more than burst + rate x window and that shares do
// not overlap.
func TestRandomSchedulesStayWithinQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScript(t)
		r, err := simulation.Run(s)
		if err != nil {
			t.Fatalf("run: %v", err)
		}
		if r.OverlapFraction > overlapTolerance {
			t.Fatalf("shares add up to more than the whole quota, by the fraction %v; script %+v", r.OverlapFraction, *s)
		}
		if r.ExcessTokens > excessToleranceTokens {
			t.Fatalf("%v tokens admitted over burst and rate; script %+v", r.ExcessTokens, *s)
		}
	})
}
