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

// Parts of the store that an instance reads.
const (
	PartConfiguration = "configuration"
	PartTargets       = "targets"
	PartMembers       = "members"
	PartSuspects      = "suspects"
)

const (
	liveTimeout         = 3 * time.Second        // time without a heartbeat after which a member no longer counts as live
	shareRetention      = time.Minute            // time without a heartbeat after which a member's share of the limits goes to others
	maintenanceInterval = 250 * time.Millisecond // between two runs of the periodic maintenance

	// The instance of rank 0 watches the configuration, for watchDuration at a time.
	// Rank n watches as well once the view is older than about watchLateAge plus
	// n times watchRankDelay.
	watchDuration  = time.Second
	watchLateAge   = watchDuration + 700*time.Millisecond
	watchRankDelay = 400 * time.Millisecond
	// The instance of rank 0 lists the targets when the list is older than
	// targetListAge, and each further rank targetListRankDelay later.
	targetListAge       = 600 * time.Millisecond
	targetListRankDelay = 250 * time.Millisecond
	// The members are listed to find the first peers; later they are known by gossip, and
	// the instance of rank 0 lists them to find others that gossip lost.
	memberListAge   = 10 * time.Second
	memberSearchAge = 500 * time.Millisecond // while no other instance is known to be live, or some may not be
	// An instance that has just started leaves reading the store to the seeds of the fleet
	// for startReadDelay, and then, if it knows a live instance of its region, to those of
	// lower ranks: it counts startRanks more until startReadPeriod is over.
	startReadDelay  = 400 * time.Millisecond
	startReadPeriod = 4 * time.Second
	startRanks      = 1
	// Newer content is fetched from another region only if the view is older than
	// remoteFetchAge.
	remoteFetchAge = 900 * time.Millisecond
	// The instance of rank 0 watches the suspects, which seldom change, for
	// suspectWatchDuration at a time. The next one watches as well once the view is older
	// than about suspectLateAge.
	suspectWatchDuration = 5 * time.Second
	suspectLateAge       = suspectWatchDuration + 700*time.Millisecond
	// maxEntryBytes is the longest value of a target or a member that is kept.
	maxEntryBytes = 16 << 10
)

// Lease is a lease of the store. Its ID is given out again in a later era. The zero value is
// no lease.
type Lease struct {
	ID  int64
	Era int64 // see view.Snapshot
}

// Store provides access to the platform's store and decodes its content. The functions
// must be safe for concurrent use.
type Store struct {
	// List returns all items of a part.
	List func(ctx context.Context, part string) (view.Snapshot, error)
	// ListStale is like List, but the content may be some seconds old, and the call is
	// cheaper.
	ListStale func(ctx context.Context, part string) (view.Snapshot, error)
	// Watch returns the changes of a part after a revision, and the new revision. If
	// there are none yet, it waits for them for up to wait. Deleted items have a nil
	// value. The error is reader.ErrCompacted if the changes are no longer available.
	Watch func(ctx context.Context, part string, after int64, wait time.Duration) (view.Changes, error)
	// GrantLease obtains a lease, RenewLease renews it and RevokeLease revokes it.
	// RenewLease returns a *reader.EraError if the store is in another era than that of the
	// lease.
	GrantLease  func(ctx context.Context, ttl time.Duration) (Lease, error)
	RenewLease  func(ctx context.Context, lease Lease) error
	RevokeLease func(ctx context.Context, lease Lease) error
	// Announce writes the instance's entry under a lease. Its errors are those of
	// RenewLease.
	Announce func(ctx context.Context, m membership.Member, lease Lease) error

	// PutSuspects writes the value of SuspectsKey if its revision is the expected one, 0 for
	// a key without a value. If it is not, the error is a *ConflictError.
	PutSuspects func(ctx context.Context, data []byte, expected int64) error

	// DecodeCatalog, DecodeEvacuated, DecodeTargets and DecodeMembers decode the
	// items of a part. DecodeTargets and DecodeMembers also return an error for
	// each item that they cannot decode. DecodeCatalog returns nil if there is no
	// configuration among the items.
	DecodeCatalog   func(items []view.Item) (*catalog.Catalog, error)
	DecodeEvacuated func(items []view.Item) map[string]bool // evacuated data centres
	DecodeTargets   func(items []view.Item) ([]target.Target, []error)
	DecodeMembers   func(items []view.Item) ([]membership.Member, []error)
	// Region returns the region that a data centre belongs to.
	Region func(centre string) string
	// SignificantContent returns the content of an item without the values that
	// differ in each report, but with the remaining cold time of a target. An item
	// counts as changed only if this content differs.
	SignificantContent func(part string, it view.Item) string
}

// SuspectsKey is the last element of the only key of PartSuspects.
const SuspectsKey = "fleet"

// ConflictError is the error of a write to a key that has another revision than expected.
type ConflictError struct{ Item view.Item } // the current value; revision 0 if there is none

// Error returns the revision.
func (e *ConflictError) Error() string {
	return "edge: the key has revision " + itoa(e.Item.Revision)
}

func (e *Edge) buildViews() {
	e.views = make(map[string]*view.View)
	e.fetching = make(map[string]*atomic.Bool)
	e.applyLocks = make(map[string]*sync.Mutex)
	e.parts = make(map[string]*partState)
	for _, part := range []string{PartConfiguration, PartTargets, PartMembers, PartSuspects} {
		e.views[part] = &view.View{}
		e.fetching[part] = &atomic.Bool{}
		e.applyLocks[part] = &sync.Mutex{}
		e.parts[part] = &partState{}
	}
	e.apply = map[string]func(time.Time, view.Snapshot){
		PartConfiguration: e.applyConfiguration,
		PartTargets:       e.applyTargets,
		PartMembers:       e.applyMembers,
		PartSuspects:      e.applySuspects,
	}
}

// readers returns a reader for each part of the store.
func (e *Edge) readers() []*reader.Refresher {
	delay := startReadDelay
	if !e.hasOtherSeeds() {
		delay = 0
	}
	newReader := func(part string, maxAge, rankDelay time.Duration) *reader.Refresher {
		return &reader.Refresher{
			StartDelay: delay,
			Part:       part, View: e.views[part], MaxAge: maxAge, RankDelay: rankDelay, Rank: e.readRank, Now: e.now, Decisions: e.decisions,
			Read: func(ctx context.Context) (view.Snapshot, error) {
				s, err := e.store.List(ctx, part)
				return withoutLongEntries(part, s), err
			},
			Digest:   e.digest(part),
			OnChange: func(now time.Time) { e.contentChanged(now, part, true) },
		}
	}
	newWatcher := func(part string, duration, lateAge time.Duration) *reader.Refresher {
		r := newReader(part, 0, watchRankDelay)
		r.Rank = func(now time.Time) int {
			if rank := e.readRank(now); rank > 0 {
				return rank + int(lateAge/watchRankDelay)
			}
			return 0
		}
		r.WatchTimeout = duration + 600*time.Millisecond
		r.Watch = func(ctx context.Context, after int64) (view.Changes, error) {
			return e.store.Watch(ctx, part, after, duration)
		}
		return r
	}
	members := newReader(PartMembers, memberListAge, 0)
	members.Due, members.StartDelay = e.memberListDue, 0
	members.Read = func(ctx context.Context) (view.Snapshot, error) {
		list := e.store.List
		if !e.views[PartMembers].Loaded() {
			list = e.store.ListStale // for the size of the fleet, which is seldom new
		}
		s, err := list(ctx, PartMembers)
		return withoutLongEntries(PartMembers, s), err
	}
	return []*reader.Refresher{
		newWatcher(PartConfiguration, watchDuration, watchLateAge), newWatcher(PartSuspects, suspectWatchDuration, suspectLateAge),
		newReader(PartTargets, targetListAge, targetListRankDelay), members,
	}
}

// withoutLongEntries returns the snapshot with an empty value in place of each that is longer
// than an entry of a target or a member can be, so that a few of another writer do not make the
// copies for other instances too long to be sent.
func withoutLongEntries(part string, s view.Snapshot) view.Snapshot {
	if part != PartTargets && part != PartMembers {
		return s
	}
	for i := range s.Items {
		if len(s.Items[i].Value) > maxEntryBytes {
			s.Items[i].Value = []byte{}
		}
	}
	return s
}

// memberListDue reports whether to list the members in the store.
func (e *Edge) memberListDue(now time.Time, age time.Duration, loaded bool) bool {
	switch {
	case !loaded:
		return true
	case len(e.memberTable.Live(now, liveTimeout)) == 0, !e.introduced(now) && e.regionRank(now) == 0:
		return age >= memberSearchAge
	}
	return age >= memberListAge && e.readRank(now) == 0
}

func (e *Edge) digest(part string) func([]view.Item) uint64 {
	return func(items []view.Item) uint64 {
		return view.Digest(items, func(it view.Item) string { return e.store.SignificantContent(part, it) })
	}
}

// readRank returns this instance's rank among the live instances of its region that are
// not stopping. The instance of rank 0 reads the store first.
func (e *Edge) readRank(now time.Time) int {
	rank := e.regionRank(now)
	if now.Sub(e.started) < startReadPeriod && e.hasOtherSeeds() && len(e.liveNeighbours(now)) > 0 {
		rank += startRanks
	}
	return rank
}

// regionRank returns this instance's rank among the live instances of its region that are not
// stopping.
func (e *Edge) regionRank(now time.Time) int {
	region := e.Settings().Region
	return e.rank(now, func(m membership.Member) bool { return m.Region == region })
}

// hasOtherSeeds reports whether the settings name seeds of the fleet, and this instance is
// none of them.
func (e *Edge) hasOtherSeeds() bool {
	s := e.Settings()
	return len(s.Seeds) > 0 && !slices.Contains(s.Seeds, s.PeerAddr)
}

// rank returns this instance's rank, by membership.Compare, among the live instances that
// are not stopping and for which include returns true.
func (e *Edge) rank(now time.Time, include func(membership.Member) bool) int {
	self, rank := e.self(now), 0
	e.memberTable.VisitLive(now, liveTimeout, func(m membership.Member, _ uint64) {
		if include(m) && !m.Leaving && membership.Compare(m, self) < 0 {
			rank++
		}
	})
	return rank
}

// contentChanged applies new content. Content that is new to the region is announced to
// other instances at once; those of the region need not announce it again.
func (e *Edge) contentChanged(now time.Time, part string, newToRegion bool) {
	e.applyNewest(now, part)
	if newToRegion && part != PartMembers {
		e.gossiper.Broadcast(e.ctx)
	}
}

// applyNewest applies the newest content of a part. Readers and heartbeats deliver
// content concurrently: the lock and the read of the newest snapshot ensure that older
// content never replaces newer content.
func (e *Edge) applyNewest(now time.Time, part string) {
	e.applyLocks[part].Lock()
	defer e.applyLocks[part].Unlock()
	e.apply[part](now, e.views[part].Snapshot())
}

// applyConfiguration puts the evacuations and the catalog into effect. If the catalog
// cannot be decoded or is not newer, the current one stays in effect.
func (e *Edge) applyConfiguration(now time.Time, s view.Snapshot) {
	items := e.itemsInEffect(now, PartConfiguration, s)
	e.setEvacuated(now, e.store.DecodeEvacuated(items))
	c, err := e.store.DecodeCatalog(items)
	if err != nil {
		e.logDecision("configuration", "refused", err.Error())
		return
	}
	old := e.catalog.Load()
	if c == nil || old != nil && c.Version() <= old.Version() && !e.numberReused(now, s) {
		return
	}
	e.catalog.Store(c)
	e.catalogEra = s.Era
	e.divideQuota(now)
	e.logDecision("configuration", "in force", "version "+itoa(c.Version())+" at revision "+itoa(s.Revision)+", read "+now.Sub(s.AsOf).String()+" ago")
}

// numberReused reports whether the catalog of the snapshot was written in a later era than
// the current one. Once others have had time to write again what the store lost, such a
// catalog is new in spite of its number.
func (e *Edge) numberReused(now time.Time, s view.Snapshot) bool {
	p := e.parts[PartConfiguration]
	if s.Era <= e.catalogEra || p.rollback.Active(now) {
		return false
	}
	written, err := e.store.DecodeCatalog(p.rollback.Written(s.Items))
	return err == nil && written != nil
}

func (e *Edge) applyMembers(_ time.Time, s view.Snapshot) {
	e.noteEra(s.Era)
	members, errs := e.store.DecodeMembers(s.Items)
	for _, err := range errs {
		e.logDecision("member", "entry not readable", err.Error())
	}
	e.sizes.merge(members, e.Settings().Region)
	e.memberTable.MergeListing(slices.DeleteFunc(members, func(m membership.Member) bool { return m.Name == e.Settings().Name }))
}

// digests returns the digests of this instance's content of each part but the members.
func (e *Edge) digests(now time.Time) []*fleet.Digest {
	var list []*fleet.Digest
	for part, v := range e.views {
		if part == PartMembers {
			continue
		}
		if s := v.Snapshot(); !s.AsOf.IsZero() {
			list = append(list, &fleet.Digest{Part: part, Era: s.Era, Revision: s.Revision, Digest: s.Digest, Age: gossip.AgeMillis(now, s.AsOf)})
		}
	}
	return list
}

// compareDigest compares a member's digest of a part with this instance's content. If the
// digests agree, it confirms the content as of the time in the digest. If the member's
// content is newer, it fetches it in the background.
func (e *Edge) compareDigest(now, written time.Time, from membership.Member, d *fleet.Digest) {
	v := e.views[d.GetPart()]
	if v == nil || from.Peers == "" {
		return
	}
	asOf := written.Add(-time.Duration(d.GetAge()) * time.Millisecond)
	if v.Confirm(d.GetEra(), d.GetRevision(), d.GetDigest(), asOf) {
		return
	}
	own := v.Snapshot()
	mayFetch := from.Region == e.Settings().Region || now.Sub(own.AsOf) > remoteFetchAge || d.GetEra() > own.Era
	if !v.OlderThan(d.GetEra(), d.GetRevision()) || !mayFetch || !e.fetching[d.GetPart()].CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching[d.GetPart()].Store(false)
		e.fetch(from, d.GetPart())
	}()
}

// fetch fetches a member's content of a part, and applies it if it is newer.
func (e *Edge) fetch(from membership.Member, part string) {
	began := e.now()
	content, err := e.gossiper.FetchContent(e.ctx, from, part)
	if err != nil || content.GetDigest() == nil {
		return // the next heartbeat triggers another attempt
	}
	items := make([]view.Item, 0, len(content.GetItems()))
	for _, it := range content.GetItems() {
		items = append(items, view.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: it.GetRevision()})
	}
	now := e.now()
	d := content.GetDigest()
	snap := view.Snapshot{
		Era: d.GetEra(), Revision: d.GetRevision(), Digest: d.GetDigest(), Items: items,
		AsOf: began.Add(-time.Duration(d.GetAge()) * time.Millisecond), ReceivedAt: now,
	}
	if e.views[part].Update(snap) {
		e.logDecision("view", "fetched", part+" at revision "+itoa(snap.Revision)+" from "+from.Name)
		e.contentChanged(now, part, from.Region != e.Settings().Region)
	}
}

// content returns this instance's content of a part for other instances, or an empty
// message if none is loaded.
func (e *Edge) content(now time.Time, part string) *fleet.Content {
	v := e.views[part]
	if v == nil || !v.Loaded() {
		return &fleet.Content{}
	}
	s := v.Snapshot()
	c := &fleet.Content{Digest: &fleet.Digest{Part: part, Era: s.Era, Revision: s.Revision, Digest: s.Digest, Age: gossip.AgeMillis(now, s.AsOf)}}
	for _, it := range s.Items {
		c.Items = append(c.Items, &fleet.Item{Key: it.Key, Value: it.Value, Revision: it.Revision})
	}
	return c
}
