// Package slope measures how the costs of the parts of an instance grow with the
// size of the fleet or its configuration, and computes the needs of a fleet of the
// planned size.
package slope

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"time"
)

// The planned size of the fleet.
const (
	Instances          = 360
	Engines            = 3100
	Centres            = 77
	Regions            = 24
	Customers          = 230
	RequestsPerSecond  = 5200
	ChangesPerDay      = 8000 // of the configuration
	RestartsPerDay     = 1056 // of instances, including failures
	instancesPerCentre = float64(Instances) / Centres
)

// Fit is a line fitted to measured costs: cost = Base + Slope x size.
type Fit struct {
	Name             string
	Unit             string // unit of the cost: "us" or "B"
	Per              string // what the size counts
	Base             float64
	Slope            float64
	MaxRelativeError float64 // largest relative deviation of a measured point from the line
	Sizes            []int   // at which the cost was measured
}

// At returns the cost at a size by the fitted line.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }

const (
	beginMarker = "<!-- slopes: begin -->"
	endMarker   = "<!-- slopes: end -->"
)

// Replace returns the page with the text between its markers replaced by the
// tables. It fails if a marker is missing.
func Replace(page, tables string) (string, error) {
	head, rest, ok := strings.Cut(page, beginMarker)
	if !ok {
		return "", errors.New("slope: the page has no begin marker")
	}
	_, tail, ok := strings.Cut(rest, endMarker)
	if !ok {
		return "", errors.New("slope: the page has no end marker")
	}
	return head + beginMarker + "\n" + tables + endMarker + tail, nil
}

// Measure measures all costs and returns the tables of fits and of roles in
// Markdown.
func Measure() (string, error) {
	m := &measurements{}
	if err := m.measureAll(); err != nil {
		return "", err
	}
	return m.fitTable() + "\n" + m.roleTable(), nil
}

// measureFit measures a cost at each size and fits a line by least squares.
func measureFit(name, unit, per string, sizes []int, cost func(size int) float64) Fit {
	f := Fit{Name: name, Unit: unit, Per: per, Sizes: sizes}
	var sx, sy, sxx, sxy float64
	points := make([]float64, len(sizes))
	for i, size := range sizes {
		y := cost(size)
		points[i] = y
		x := float64(size)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	n := float64(len(sizes))
	f.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.Base = (sy - f.Slope*sx) / n
	for i, size := range sizes {
		f.MaxRelativeError = max(f.MaxRelativeError, math.Abs(f.At(float64(size))-points[i])/math.Max(points[i], 1e-12))
	}
	return f
}

// microsPerCall returns the elapsed time of one call of step in microseconds, as the
// median of several batches. It is taken for the CPU time, since step neither waits
// nor runs in parallel. A batch has so many calls that it takes at least
// minBatchDuration.
func microsPerCall(step func()) float64 {
	const batches = 9
	const minBatchDuration = 4 * time.Millisecond
	step()
	calls := 1
	for {
		if elapsed := timeCalls(calls, step); elapsed >= minBatchDuration {
			break
		}
		calls *= 2
	}
	perCall := make([]float64, batches)
	for i := range perCall {
		perCall[i] = timeCalls(calls, step).Seconds() * 1e6 / float64(calls)
	}
	return median(perCall)
}

// timeCalls returns the time that the given number of calls of step takes.
func timeCalls(calls int, step func()) time.Duration {
	start := time.Now()
	for range calls {
		step()
	}
	return time.Since(start)
}

// median returns the upper median. It sorts v in place.
func median(v []float64) float64 {
	for i := range v {
		for j := i + 1; j < len(v); j++ {
			if v[j] < v[i] {
				v[i], v[j] = v[j], v[i]
			}
		}
	}
	return v[len(v)/2]
}

// heapBytes returns the bytes of heap that the value returned by build occupies.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return math.Max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 0)
}

// fitTable returns the table of all fits.
func (m *measurements) fitTable() string {
	var b strings.Builder
	b.WriteString("| what | sizes | base | for each | error |\n|---|---|---|---|---|\n")
	for _, f := range m.fits {
		fmt.Fprintf(&b, "| %s | %v %ss | %.3g %s | %.3g %s a %s | %.0f%% |\n", f.Name, f.Sizes, f.Per, f.Base, f.Unit, f.Slope, f.Unit, f.Per, 100*f.MaxRelativeError)
	}
	return b.String()
}
