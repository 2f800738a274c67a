package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilyard.example/chervilyard/gossip"
	"chervilyard.example/chervilyard/reader"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/view"
)

// The parts of the store that an instance knows.
const (
	PartConfiguration = "configuration"
	PartTargets       = "targets"
	PartMembers       = "members"
)

const (
	liveTime   = 3 * time.Second        // since the last heartbeat, until callers are sent elsewhere
	shareTime  = time.Minute            // since the last heartbeat, until its part of the limits goes to others
	upkeepTime = 250 * time.Millisecond // between two rounds of upkeep

	// A watch of the configuration lasts watchWait; the next rank joins in when
	// the view is older than watchLate.
	watchWait = time.Second
	watchLate = watchWait + 700*time.Millisecond
	watchStep = 400 * time.Millisecond
	// Targets are listed when the list is older than listAge, by the next rank
	// when it is a listStep older.
	listAge  = 600 * time.Millisecond
	listStep = 250 * time.Millisecond
	// Members are listed to find the first others; later they hear of each other.
	memberAge  = 5 * time.Second
	memberStep = time.Second
	// staleFar is the age at which news from other regions is taken in.
	staleFar = 900 * time.Millisecond
)

// Store is how an instance reads and writes the platform's store. The functions
// are safe for concurrent use.
type Store struct {
	// List returns the whole of a part.
	List func(ctx context.Context, part string) (view.Snapshot, error)
	// Watch returns changes of a part after a revision, waiting for some. Removed
	// items have no value. The error is reader.ErrCompacted where it is too late.
	Watch func(ctx context.Context, part string, after int64, wait time.Duration) ([]view.Item, int64, error)
	// Grant returns a lease, Renew renews it and End ends it.
	Grant func(ctx context.Context, ttl time.Duration) (int64, error)
	Renew func(ctx context.Context, lease int64) error
	End   func(ctx context.Context, lease int64) error
	// Announce writes what the instance says of itself under a lease.
	Announce func(ctx context.Context, m membership.Member, lease int64) error

	// Catalog and Closed read the configuration's items.
	Catalog func(items []view.Item) (*catalog.Catalog, error)
	Closed  func(items []view.Item) map[string]bool // evacuated data centres
	Targets func(items []view.Item) ([]target.Target, []error)
	Members func(items []view.Item) ([]membership.Member, []error)
	// Region returns the region of a data centre.
	Region func(centre string) string
	// Summary is what matters of an item, without what each report changes.
	Summary func(part string, it view.Item) string
}

func (e *Edge) buildViews() {
	e.views = make(map[string]*view.View)
	e.fetching = make(map[string]*atomic.Bool)
	e.decoding = make(map[string]*sync.Mutex)
	for _, part := range []string{PartConfiguration, PartTargets, PartMembers} {
		e.views[part] = &view.View{}
		e.fetching[part] = &atomic.Bool{}
		e.decoding[part] = &sync.Mutex{}
	}
	e.decode = map[string]func(time.Time, view.Snapshot){
		PartConfiguration: e.takeConfiguration,
		PartTargets:       e.takeTargets,
		PartMembers:       e.takeMembers,
	}
}

func (e *Edge) readers() []*reader.Duty {
	base := func(part string, every, step time.Duration) *reader.Duty {
		return &reader.Duty{
			Part: part, View: e.views[part], Every: every, Step: step, Rank: e.rank, Now: e.now, Journal: e.journal,
			Read:    func(ctx context.Context) (view.Snapshot, error) { return e.store.List(ctx, part) },
			Digest:  e.digest(part),
			Changed: func(now time.Time) { e.changed(now, part, true) },
		}
	}
	configuration := base(PartConfiguration, 0, watchStep)
	configuration.Rank = func(now time.Time) int {
		if rank := e.rank(now); rank > 0 {
			return rank + int(watchLate/watchStep)
		}
		return 0
	}
	configuration.WatchTime = watchWait + 600*time.Millisecond
	configuration.Watch = func(ctx context.Context, after int64) ([]view.Item, int64, error) {
		return e.store.Watch(ctx, PartConfiguration, after, watchWait)
	}
	return []*reader.Duty{configuration, base(PartTargets, listAge, listStep), base(PartMembers, memberAge, memberStep)}
}

func (e *Edge) digest(part string) func([]view.Item) uint64 {
	return func(items []view.Item) uint64 {
		return view.Digest(items, func(it view.Item) string { return e.store.Summary(part, it) })
	}
}

// rank is this instance's place among those of its region that may read.
func (e *Edge) rank(now time.Time) int {
	s := e.Settings()
	var others []membership.Member
	for _, m := range e.table.Live(now, liveTime) {
		if m.Region == s.Region && !m.Leaving {
			others = append(others, m)
		}
	}
	return membership.Rank(s.Name, others)
}

// changed puts new content in force. News that the region does not have yet is
// told at once: who heard of it there need not tell it again.
func (e *Edge) changed(now time.Time, part string, first bool) {
	e.decodeNewest(now, part)
	if first && part != PartMembers {
		e.beats.Spread(e.ctx)
	}
}

// decodeNewest puts what is newest of a part in force. Readers and heartbeats
// bring news at the same time: each takes the newest, so that none puts an older
// one in force after another's.
func (e *Edge) decodeNewest(now time.Time, part string) {
	e.decoding[part].Lock()
	defer e.decoding[part].Unlock()
	e.decode[part](now, e.views[part].Snapshot())
}

func (e *Edge) takeConfiguration(now time.Time, s view.Snapshot) {
	closed := e.store.Closed(s.Items)
	e.evacuate(now, closed)
	c, err := e.store.Catalog(s.Items)
	if err != nil {
		e.note("configuration", "refused", err.Error())
		return
	}
	old := e.catalog.Load()
	if c == nil || old != nil && c.Version() <= old.Version() {
		return
	}
	e.catalog.Store(c)
	e.divide(now)
	e.note("configuration", "in force", "version "+itoa(c.Version())+" at revision "+itoa(s.Revision)+", read "+now.Sub(s.AsOf).String()+" ago")
}

func (e *Edge) takeMembers(_ time.Time, s view.Snapshot) {
	members, faults := e.store.Members(s.Items)
	for _, err := range faults {
		e.note("member", "entry not readable", err.Error())
	}
	e.table.List(slices.DeleteFunc(members, func(m membership.Member) bool { return m.Name == e.Settings().Name }))
}

// digests tells what this instance knows of each part.
func (e *Edge) digests(now time.Time) []*fleet.Digest {
	var list []*fleet.Digest
	for part, v := range e.views {
		if part == PartMembers {
			continue
		}
		if s := v.Snapshot(); !s.AsOf.IsZero() {
			list = append(list, &fleet.Digest{Part: part, Revision: s.Revision, Digest: s.Digest, Age: gossip.Age(now, s.AsOf)})
		}
	}
	return list
}

// compare takes in what a member knows of a part, and fetches it where it is news.
func (e *Edge) compare(now, written time.Time, from membership.Member, d *fleet.Digest) {
	v := e.views[d.GetPart()]
	if v == nil || from.Peers == "" {
		return
	}
	asOf := written.Add(-time.Duration(d.GetAge()) * time.Millisecond)
	if v.Confirm(d.GetRevision(), d.GetDigest(), asOf) {
		return
	}
	mine := v.Snapshot()
	news := mine.AsOf.IsZero() || d.GetRevision() > mine.Revision
	late := from.Region == e.Settings().Region || now.Sub(mine.AsOf) > staleFar
	if !news || !late || !e.fetching[d.GetPart()].CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching[d.GetPart()].Store(false)
		e.fetch(from, d.GetPart())
	}()
}

func (e *Edge) fetch(from membership.Member, part string) {
	began := e.now()
	content, err := e.beats.Read(e.ctx, from, part)
	if err != nil || content.GetDigest() == nil {
		return // the next heartbeat tries again
	}
	items := make([]view.Item, 0, len(content.GetItems()))
	for _, it := range content.GetItems() {
		items = append(items, view.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: it.GetRevision()})
	}
	now := e.now()
	d := content.GetDigest()
	snap := view.Snapshot{
		Revision: d.GetRevision(), Digest: d.GetDigest(), Items: items,
		AsOf: began.Add(-time.Duration(d.GetAge()) * time.Millisecond), Arrived: now,
	}
	if e.views[part].Learn(snap) {
		e.note("view", "fetched", part+" at revision "+itoa(snap.Revision)+" from "+from.Name)
		e.changed(now, part, from.Region != e.Settings().Region)
	}
}

// content is what this instance knows of a part, for others.
func (e *Edge) content(now time.Time, part string) *fleet.Content {
	v := e.views[part]
	if v == nil || !v.Known() {
		return &fleet.Content{}
	}
	s := v.Snapshot()
	c := &fleet.Content{Digest: &fleet.Digest{Part: part, Revision: s.Revision, Digest: s.Digest, Age: gossip.Age(now, s.AsOf)}}
	for _, it := range s.Items {
		c.Items = append(c.Items, &fleet.Item{Key: it.Key, Value: it.Value, Revision: it.Revision})
	}
	return c
}
