package edge

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/view"
)

const (
	// outage is the age of the list of targets at which the store counts as away.
	outage = 1800 * time.Millisecond
	// returning is how long targets that are missing after an outage are kept:
	// their reports lapsed, and come again when they reach the store.
	returning = 2200 * time.Millisecond
)

// targets holds the region's targets as last listed.
type targets struct {
	mu     sync.Mutex
	all    map[string]target.Target
	far    map[string][]target.Target // of other regions, by region
	names  map[uint32]string          // the region's targets by their names in heartbeats
	closed map[string]bool            // data centres
	read   time.Time                  // of the last list
	keep   time.Time                  // until when missing targets are kept after an outage
}

// usable returns the targets of a service that may get work.
func (t *targets) usable(service string) []target.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []target.Target
	for _, one := range t.all {
		if t.open(one, service) {
			list = append(list, one)
		}
	}
	return list
}

// open reports whether the target may get work of the service.
func (t *targets) open(one target.Target, service string) bool {
	return one.Serves(service) && !one.Leaving() && !t.closed[one.Centre()]
}

// elsewhere returns the targets of a service in the other regions that fit.
func (t *targets) elsewhere(service string, fits func(region string) bool) []target.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []target.Target
	for region, far := range t.far {
		if !fits(region) {
			continue
		}
		for _, one := range far {
			if t.open(one, service) {
				list = append(list, one)
			}
		}
	}
	return list
}

// known returns all targets of the region. How long they stay cold is left out:
// it was told when the list last changed.
func (t *targets) known() []target.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []target.Target
	for _, one := range t.all {
		list = append(list, one.WithCold(0))
	}
	return list
}

// services returns the services that the targets serve, in order.
func (t *targets) services() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]bool)
	for _, one := range t.all {
		for _, name := range one.Routes() {
			seen[name] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// home returns the target that all instances prefer for a prompt's shared parts
// among the regions that can be reached, and its region.
func (e *Edge) home(service string, parts []placement.Part, reach func(region string) bool) (name, region string) {
	var list []target.Target
	if reach(e.Settings().Region) {
		list = e.targets.usable(service)
	}
	home, ok := placement.Home(append(list, e.targets.elsewhere(service, reach)...), parts)
	if !ok {
		return "", ""
	}
	return home.Name(), e.store.Region(home.Centre())
}

// takeTargets puts a fresh list of targets in force.
func (e *Edge) takeTargets(now time.Time, s view.Snapshot) {
	list, faults := e.store.Targets(s.Items)
	for _, err := range faults {
		e.note("target", "entry not readable", err.Error())
	}
	fresh, far := make(map[string]target.Target), make(map[string][]target.Target)
	var mine []target.Target
	for _, t := range list {
		if region := e.store.Region(t.Centre()); region != e.Settings().Region {
			far[region] = append(far[region], t)
			continue
		}
		fresh[t.Name()] = t
		mine = append(mine, t)
	}
	e.targets.mu.Lock()
	gap := !e.targets.read.IsZero() && s.AsOf.Sub(e.targets.read) > outage
	e.targets.read = s.AsOf
	if gap {
		e.targets.keep = s.AsOf.Add(returning)
	}
	kept := now.Before(e.targets.keep)
	old := e.targets.all
	var gone []string
	for name, t := range old {
		if _, ok := fresh[name]; ok {
			continue
		}
		if kept && !t.Leaving() {
			fresh[name] = t
			mine = append(mine, t)
			continue
		}
		gone = append(gone, name)
	}
	e.targets.all, e.targets.far = fresh, far
	e.targets.names = make(map[uint32]string, len(fresh))
	for name := range fresh {
		e.targets.names[short(name)] = name
	}
	e.targets.mu.Unlock()
	for _, name := range gone {
		e.note("target", "gone", name+" at revision "+itoa(s.Revision))
	}
	for _, t := range mine {
		if was, ok := old[t.Name()]; !ok || was.Leaving() != t.Leaving() || was.Run() != t.Run() {
			e.note("target", state(t), t.Name()+" at revision "+itoa(s.Revision))
		}
	}
	e.picker.Learn(s.AsOf, s.Arrived, e.Settings().Heartbeat, mine)
}

func state(t target.Target) string {
	if t.Leaving() {
		return "leaving"
	}
	return "listed"
}

// refreshTargets drops what was kept after an outage and notes that the list is
// still true.
func (e *Edge) refreshTargets(now time.Time) {
	s := e.views[PartTargets].Snapshot()
	e.targets.mu.Lock()
	over := !e.targets.keep.IsZero() && now.After(e.targets.keep)
	if over {
		e.targets.keep = time.Time{}
	}
	gap := !e.targets.read.IsZero() && s.AsOf.Sub(e.targets.read) > outage
	if s.AsOf.After(e.targets.read) && !gap {
		e.targets.read = s.AsOf
	}
	e.targets.mu.Unlock()
	if over || gap {
		e.decodeNewest(now, PartTargets)
		return
	}
	e.picker.Learn(s.AsOf, s.Arrived, e.Settings().Heartbeat, e.targets.known())
}

// evacuate puts in force which data centres get no work.
func (e *Edge) evacuate(now time.Time, closed map[string]bool) {
	e.targets.mu.Lock()
	was := e.targets.closed
	e.targets.closed = closed
	var cold []string
	for _, t := range e.targets.all {
		if was[t.Centre()] && !closed[t.Centre()] {
			cold = append(cold, t.Name())
		}
	}
	e.targets.mu.Unlock()
	for centre := range closed {
		if !was[centre] {
			e.note("centre", "evacuated", centre)
		}
	}
	for centre := range was {
		if !closed[centre] {
			e.note("centre", "taken back", centre)
		}
	}
	// The list of targets may be older than the end of the evacuation.
	e.picker.Chill(now, cold, e.Settings().Heartbeat+listAge)
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
