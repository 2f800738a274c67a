package outlier_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/outlier"
	"chervilyard.example/yard/target"
)

const serviceName = "p"

var start = time.Unix(1_700_000_000, 0)

func targets(n int) []target.Target {
	var list []target.Target
	for i := range n {
		list = append(list, target.New(fmt.Sprint("t", i), "c", "", []string{serviceName}, 8, 1, false))
	}
	return list
}

// report returns the counts of a reporter that has ten answers of each of six targets but the
// first, where failed requests failed.
func report(failed int) []outlier.Count {
	list := []outlier.Count{{Target: "t0", Failed: failed}}
	for i := 1; i < 6; i++ {
		list = append(list, outlier.Count{Target: fmt.Sprint("t", i), Answered: 10})
	}
	return list
}

// assess assesses six targets every 50 ms for a second, while repeat renews the reports.
func assess(d *outlier.Detector, repeat func(now time.Time)) *outlier.Assessment {
	var a *outlier.Assessment
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(50 * time.Millisecond) {
		repeat(now)
		a = d.Assess(now, serviceName, targets(6), 6)
	}
	return a
}

// Failure: one reporter or two see a target fail everything, directly or in the sum of a hub. Only
// two are enough, however many failures one reports.
func TestReportersNeeded(t *testing.T) {
	for reporters := 1; reporters <= 2; reporters++ {
		for _, hub := range []bool{false, true} {
			var d, h outlier.Detector
			a := assess(&d, func(now time.Time) {
				to := &d
				if hub {
					to = &h
				}
				for i := range reporters {
					to.Report(now, fmt.Sprint("reporter", i), report(50))
				}
				if !hub {
					return
				}
				var sums []outlier.Count
				for _, c := range h.Without(now, "this", func(string) bool { return true }) {
					sums = append(sums, c)
				}
				d.ReportOthers(now, sums)
			})
			if got, want := a.LeftOut["t0"], reporters > 1; got != want {
				t.Errorf("%d reporters, through a hub %t: ejected is %t", reporters, hub, got)
			}
		}
	}
}

// Failure: several instances are cut off from all targets. This instance reaches them.
func TestCutOffReportersEjectNothing(t *testing.T) {
	var d outlier.Detector
	a := assess(&d, func(now time.Time) {
		for i := range 5 {
			var failed []outlier.Count
			for j := range 6 {
				failed = append(failed, outlier.Count{Target: fmt.Sprint("t", j), Failed: 1 + i*j})
			}
			d.Report(now, fmt.Sprint("reporter", i), failed)
		}
		d.Report(now, "sound", report(0)[1:])
	})
	if a != nil && len(a.LeftOut) > 0 {
		t.Errorf("ejected: %v", a.LeftOut)
	}
}

// Failure: two instances are cut off from one target that this instance gets answers of.
func TestOwnAnswersOutweighReports(t *testing.T) {
	var d outlier.Detector
	a := assess(&d, func(now time.Time) {
		for i := range 5 {
			d.Report(now, fmt.Sprint("reporter", i), report(50))
		}
		d.Record(now, now, "t0", false)
	})
	if a.LeftOut["t0"] {
		t.Error("the target is ejected though it answers this instance")
	}
}

// Failure: the reports stop. Two seconds after the last one of a reporter its counts have no
// effect, also where a hub passed them on.
func TestReportsThatStop(t *testing.T) {
	var d, h outlier.Detector
	for i := range 3 {
		h.Report(start, fmt.Sprint("reporter", i), report(50))
	}
	excess := func(now time.Time) float64 {
		if a := d.Assess(now, serviceName, targets(6), 6); a != nil {
			return a.Excess["t0"]
		}
		return 0
	}
	for age := time.Duration(0); age < 4*time.Second; age += 100 * time.Millisecond {
		now := start.Add(age)
		var sums []outlier.Count
		for _, c := range h.Without(now, "this", func(string) bool { return true }) {
			sums = append(sums, c)
		}
		if len(sums) > 0 { // the last one arrives as late as possible
			d.ReportOthers(now, sums)
		}
		if age == time.Second && excess(now) <= 0 {
			t.Error("reported failures do not count")
		}
		if age >= 2*time.Second && excess(now) > 0 {
			t.Fatalf("reports count after %v", age)
		}
	}
}

// Failure: a target fails, also when it is tried again, and recovers. The time without trials
// doubles up to five seconds, and three answers end the ejection.
func TestTrialsAndReturn(t *testing.T) {
	var changes []outlier.Change
	d := outlier.Detector{
		Random:   func(int) int { return 0 },
		OnChange: func(_ time.Time, c outlier.Change) { changes = append(changes, c) },
	}
	list := targets(3)
	now := start
	step := func() {
		now = now.Add(50 * time.Millisecond)
		for i := 1; i < 3; i++ {
			d.Record(now, now, list[i].Name(), false)
		}
		d.Assess(now, serviceName, list, 1)
	}
	for d.Ejected() == 0 && now.Before(start.Add(3*time.Second)) {
		d.Record(now, now, "t0", true)
		step()
	}
	if len(changes) != 1 || !changes[0].Ejected {
		t.Fatalf("changes: %+v", changes)
	}
	var waits []time.Duration
	for range 4 {
		began := now
		for !d.IsTrialDue(now, "t0", true) {
			step()
		}
		waits = append(waits, now.Sub(began).Truncate(500*time.Millisecond))
		if d.IsTrialDue(now, "t0", false) {
			t.Error("a request that may not be repeated is a trial as early as others")
		}
		d.StartTrial(now, "t0")
		if d.IsTrialDue(now, "t0", true) {
			t.Error("another trial is due while one is under way")
		}
		if len(waits) < 4 {
			d.Record(now.Add(time.Millisecond), now, "t0", true)
		}
	}
	if want := []time.Duration{1500 * time.Millisecond, 3 * time.Second, 5 * time.Second, 5 * time.Second}; !slices.Equal(waits, want) {
		t.Errorf("times without trials are %v, want %v", waits, want)
	}
	for i := range 3 {
		if d.Ejected() != 1 {
			t.Fatalf("returned after %d answers", i)
		}
		now = now.Add(time.Second) // the failed trials leave the window
		d.Record(now, now, "t0", false)
		step()
	}
	if d.Ejected() != 0 || len(changes) != 2 || changes[1].Ejected {
		t.Errorf("not returned after three answers; changes: %+v", changes)
	}
}

// Checks that whatever is counted and reported, no more than a third of the targets is left out,
// also after some of them are gone, and that none is where all fail alike.
func TestNeverMoreThanAThird(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d outlier.Detector
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		alike := rapid.Bool().Draw(t, "alike")
		now := start
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(10, 600).Draw(t, "pause")) * time.Millisecond)
			reporters := rapid.IntRange(0, 4).Draw(t, "reporters")
			for r := range reporters {
				var counts []outlier.Count
				failed, answered := 3, 4
				for i := range 12 {
					if !alike {
						failed, answered = rapid.IntRange(0, 9).Draw(t, "failed"), rapid.IntRange(0, 9).Draw(t, "answered")
					}
					counts = append(counts, outlier.Count{Target: fmt.Sprint("t", i), Answered: answered, Failed: failed})
				}
				d.Report(now, fmt.Sprint("reporter", r), counts)
			}
			if !alike {
				n = rapid.IntRange(1, 12).Draw(t, "targets left")
				d.Record(now, now, fmt.Sprint("t", rapid.IntRange(0, n-1).Draw(t, "target")), rapid.Bool().Draw(t, "fails"))
			}
			a := d.Assess(now, serviceName, targets(n), 5)
			if a != nil && (len(a.LeftOut) > n/3 || alike && len(a.LeftOut) > 0) {
				t.Fatalf("%v of %d are left out, alike is %t", a.LeftOut, n, alike)
			}
		}
	})
}

// Failure: the time of day steps back by an hour. Guards against failures that stay in the window
// until the clock has made up for it.
func TestClockStepsBack(t *testing.T) {
	var d outlier.Detector
	d.Record(start, start, "t0", true)
	now := start.Add(-time.Hour)
	if got := d.Own(now); len(got) > 0 {
		t.Errorf("an hour before the failure: %+v", got)
	}
	d.Record(now, now, "t1", true)
	if got := d.Own(now); len(got) != 1 || got[0].Target != "t1" || got[0].Failed != 1 {
		t.Errorf("got %+v", got)
	}
}
