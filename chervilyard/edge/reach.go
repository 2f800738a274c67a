package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/target"
)

// An instance may be cut off from the targets of its region while callers, the store and the
// other instances still reach it. It then sends the requests for them through an instance of
// its region that reaches them, or through another region, and tells the others. It stays
// ready, since callers keep the connections that they have; the directory names it only if the
// caller's region has no other.

// maxBeside is the number of instances of its own region that an instance forwards a request to
// at most.
const maxBeside = 2

// unreachedServices holds the services of which this instance reaches no target.
type unreachedServices struct {
	names    []string // sorted
	isolated bool     // the region has targets, and none can be reached
}

func (u *unreachedServices) includes(service string) bool {
	if u == nil {
		return false
	}
	_, ok := slices.BinarySearch(u.names, service)
	return ok
}

func (e *Edge) recordConnFailed(now time.Time, t target.Target) {
	for _, service := range t.Routes() {
		e.reach.Failed(now, service, t.Name())
	}
	e.updateReach(now)
}

func (e *Edge) recordConnAnswered(now time.Time, t target.Target, kept bool) {
	if kept {
		e.reach.Heard(now, t.Name())
		return
	}
	for _, service := range t.Routes() {
		e.reach.Answered(now, service, t.Name())
	}
}

// checkSilent starts a health check of a target that has responded to no request since a time.
// Its outcome tells whether a new connection works.
func (e *Edge) checkSilent(t target.Target, since time.Time) {
	if e.reach.IsSilentSince(t.Name(), since) {
		e.probeSuspect(t)
	}
}

// checkReach updates what this instance reaches and starts the health checks that are due.
func (e *Edge) checkReach(now time.Time) {
	c := e.catalog.Load()
	if c == nil {
		return
	}
	for service, names := range e.targets.byService() {
		if name, ok := e.reach.NextCheck(now, service, names); ok {
			if t, ok := e.targets.get(name); ok && e.probes.tryStart(now, name, probeInterval) {
				e.startCheck(now, t, c.Service(service))
			}
		}
	}
	e.updateReach(now)
}

// updateReach updates the services that this instance is cut off from.
func (e *Edge) updateReach(now time.Time) {
	var u unreachedServices
	services := e.targets.byService()
	for service, names := range services {
		if e.reach.CutOff(now, service, names) {
			u.names = append(u.names, service)
		}
	}
	slices.Sort(u.names)
	u.isolated = len(services) > 0 && len(u.names) == len(services)
	old := e.unreached.Swap(&u)
	if old != nil && slices.Equal(old.names, u.names) || old == nil && len(u.names) == 0 {
		return
	}
	for _, service := range u.names {
		if !old.includes(service) {
			e.logDecision("reach", "cut off", service)
		}
	}
	if old != nil {
		for _, service := range old.names {
			if !u.includes(service) {
				e.logDecision("reach", "regained", service)
			}
		}
	}
	e.gossiper.Broadcast(e.ctx)
}

// isCutOff reports whether this instance reaches no target of the service, and another one of
// its region may. If none may, the targets are more likely down than out of reach.
func (e *Edge) isCutOff(now time.Time, service string) bool {
	return e.unreached.Load().includes(service) && len(e.membersBeside(now, service)) > 0
}

// membersBeside returns the ready instances of this region that do not say that they are cut off
// from the service, too.
func (e *Edge) membersBeside(now time.Time, service string) []membership.Member {
	region := e.Settings().Region
	return slices.DeleteFunc(e.memberTable.Live(now, liveTimeout), func(m membership.Member) bool {
		return m.Region != region || m.Leaving || !m.Ready || !m.Reaches(service)
	})
}

// instancesBeside returns a few of membersBeside at random to forward a request to.
func (e *Edge) instancesBeside(now time.Time, service string) []gateway.RemoteInstance {
	members := e.membersBeside(now, service)
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var list []gateway.RemoteInstance
	for _, m := range members[:min(len(members), maxBeside)] {
		path := e.gossiper.RoundTripTime(m.Name)
		list = append(list, gateway.RemoteInstance{Member: m, Wait: path, RoundTrip: path})
	}
	return list
}

// tellsLoad reports whether the others should count this instance's requests at a target.
// Those that it sent before it was cut off say nothing of the load there.
func (e *Edge) tellsLoad(targetName string) bool {
	u := e.unreached.Load()
	if u == nil || len(u.names) == 0 {
		return true
	}
	t, ok := e.targets.get(targetName)
	return !ok || !slices.ContainsFunc(t.Routes(), u.includes)
}

// targetEnded reports whether the target at an address, whose connection broke, has ended. One
// that refuses connections may be out of reach of this instance alone, so if none of the
// service's targets can be reached, another instance has to confirm it.
func (e *Edge) targetEnded(ctx context.Context, now time.Time, address string) bool {
	if !e.liveness.Ended(ctx, now, address) {
		return false
	}
	t, ok := e.targets.at(address)
	if !ok {
		return true
	}
	now = e.now()
	e.recordConnFailed(now, t)
	for _, service := range t.Routes() {
		if !e.unreached.Load().includes(service) {
			continue
		}
		for _, m := range e.membersBeside(now, service)[:min(1, len(e.membersBeside(now, service)))] {
			answer, err := e.gossiper.RequestProof(ctx, m, &fleet.Check{Run: targetRunHash(t), End: true})
			return err != nil || answer.GetRun() != targetRunHash(t)
		}
	}
	return true
}

// acceptsConnections answers another instance whether a target still accepts connections.
func (e *Edge) acceptsConnections(ctx context.Context, t target.Target) *fleet.Check {
	if e.liveness.Ended(ctx, e.now(), t.Address()) {
		return &fleet.Check{}
	}
	return &fleet.Check{Run: targetRunHash(t)}
}

// byService returns the names of the region's targets that may get requests, by service.
func (t *targetList) byService() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := make(map[string][]string)
	for name, candidate := range t.local {
		for _, service := range candidate.Routes() {
			if t.isUsable(candidate, service) {
				services[service] = append(services[service], name)
			}
		}
	}
	return services
}

// at returns the region's target at an address.
func (t *targetList) at(address string) (target.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for candidate := range maps.Values(t.local) {
		if candidate.Address() == address {
			return candidate, true
		}
	}
	return target.Target{}, false
}
