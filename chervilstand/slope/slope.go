// Package slope measures what the parts of an instance cost for each unit of
// what they grow with, and works out what a fleet of the planned size needs.
package slope

import (
	"errors"
	"fmt"
	"math"
	"runtime"
	"strings"
	"time"
)

// The planned size.
const (
	Instances = 360
	Engines   = 3100
	Centres   = 77
	Regions   = 24
	Customers = 230
	Requests  = 5200 // a second
	Changes   = 8000 // a day
	Restarts  = 1056 // a day, with failures
	perCentre = float64(Instances) / Centres
)

// Fit is a measured line: cost = Base + Slope x size.
type Fit struct {
	Name  string
	Unit  string // of the cost
	Per   string // of the size
	Base  float64
	Slope float64
	Error float64 // largest relative deviation of a measured point
	Sizes []int
}

// Line returns the cost at a size.
func (f Fit) Line(size float64) float64 { return f.Base + f.Slope*size }

const (
	beginMark = "<!-- slopes: begin -->"
	endMark   = "<!-- slopes: end -->"
)

// Replace puts tables between the markers of a page.
func Replace(page, tables string) (string, error) {
	head, rest, ok := strings.Cut(page, beginMark)
	if !ok {
		return "", errors.New("slope: the page has no mark to begin at")
	}
	_, tail, ok := strings.Cut(rest, endMark)
	if !ok {
		return "", errors.New("slope: the page has no mark to end at")
	}
	return head + beginMark + "\n" + tables + endMark + tail, nil
}

// Measure measures all slopes and returns the tables in Markdown.
func Measure() (string, error) {
	m := &measured{}
	if err := m.all(); err != nil {
		return "", err
	}
	return m.fitTable() + "\n" + m.roleTable(), nil
}

// fit measures a cost at each size and fits a line by least squares.
func fit(name, unit, per string, sizes []int, cost func(size int) float64) Fit {
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
		f.Error = max(f.Error, math.Abs(f.Line(float64(size))-points[i])/math.Max(points[i], 1e-12))
	}
	return f
}

// cpu returns the microseconds that one run of a step takes: the median of
// several batches.
func cpu(step func()) float64 {
	const batches = 9
	const least = 4 * time.Millisecond
	step()
	runs := 1
	for {
		if took := timed(runs, step); took >= least {
			break
		}
		runs *= 2
	}
	all := make([]float64, batches)
	for i := range all {
		all[i] = timed(runs, step).Seconds() * 1e6 / float64(runs)
	}
	return median(all)
}

func timed(runs int, step func()) time.Duration {
	start := time.Now()
	for range runs {
		step()
	}
	return time.Since(start)
}

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

// heap returns the bytes that a made thing keeps.
func heap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return math.Max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 0)
}

func (m *measured) fitTable() string {
	var b strings.Builder
	b.WriteString("| what | sizes | base | for each | error |\n|---|---|---|---|---|\n")
	for _, f := range m.fits {
		fmt.Fprintf(&b, "| %s | %v %ss | %.3g %s | %.3g %s a %s | %.0f%% |\n", f.Name, f.Sizes, f.Per, f.Base, f.Unit, f.Slope, f.Unit, f.Per, 100*f.Error)
	}
	return b.String()
}
