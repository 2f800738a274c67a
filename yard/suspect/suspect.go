// Package suspect finds what crashes targets: parts of prompts in common to the requests under
// which different targets ended as they began to answer, and requests that come again whole.
// The instances of a fleet exchange what they observe, since each sees only some of the ends.
//
// A request counts as one more part, its last one, named by package fingerprint. It differs
// from a shared part in two ways: an answer that went well voids the ends before it and
// excuses none after it, since it says nothing of other requests; and ends of targets under
// its trials leave a doubt, since other requests may have been open there.
package suspect

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/fingerprint"
)

const (
	// BeginningTime is how long after its first byte a response counts as beginning.
	BeginningTime = 500 * time.Millisecond
	// A part is blocked once minBegunEnds targets ended as they began to answer requests
	// with it, or minEnds targets ended while such requests also waited for an answer.
	minBegunEnds = 2
	minEnds      = 3
	// soundTime is how long after a complete answer with a part no end of a target is
	// attributed to it.
	soundTime = time.Minute
	// sameEndTime is the largest difference between two reports of one end of a target.
	sameEndTime = 2 * time.Second
	// A target that answers a request that was sent between refuteAfter and refuteBefore
	// after its reported end has not ended. The former exceeds the error of ages that instances exchange, and the
	// latter is less than a target takes to restart.
	refuteAfter  = 250 * time.Millisecond
	refuteBefore = time.Second
	// A single request is let through as a trial firstTrialDelay after the part was
	// blocked, and again after trialDelayFactor times the last delay while no trial is
	// decided. A trial under which a target ended confirms the verdict. If the trials were in
	// doubt, minDoubtfulTrials of them do: after two, a part that the requests have in
	// common is blocked too, and the third is a trial of that. The next one then follows
	// after confirmedDelay, which doubles up to maxConfirmedDelay.
	firstTrialDelay   = 2 * time.Second
	trialDelayFactor  = 4
	minDoubtfulTrials = 3
	confirmedDelay    = time.Hour
	maxConfirmedDelay = 24 * time.Hour
	// For a request that comes again, minRequestTrials confirm the verdict. After
	// maxRequestTrials it is not tried again until it is forgotten.
	minRequestTrials = 2
	maxRequestTrials = 3
	// trialRankDelay is how much later than the instance of the rank before it an instance
	// starts a trial. Most instances hear of a trial within it.
	trialRankDelay = 300 * time.Millisecond
	// retention is how long a part is kept after the last end or request with it, and
	// requestRetention how long a request is that is blocked.
	retention        = 10 * time.Minute
	requestRetention = 24 * time.Hour

	// The number of parts of a request is bounded by the size of its header only. What is kept of
	// all requests is bounded by what each item is worth, and never by its place in a prompt.
	maxRecords      = 16384 // of parts
	maxSound        = 32768 // parts that are known to be sound
	maxEnds         = 8     // of each part
	maxPartID       = 32    // bytes; longer IDs are hashed
	maxReported     = 16    // verdicts that change at once
	maxPendingParts = 65536 // of short answers whose targets may yet end
)

// PartName returns the name of a part of a prompt for requests of a service. The ID is the
// caller's.
func PartName(service, id string) string {
	if len(id) > maxPartID {
		id = "#" + strconv.FormatUint(xxhash.Sum64String(id), 16)
	}
	return service + "/" + id
}

// Rank returns the position of an instance in the order in which the instances start trials of
// the part. The one of rank 0 is first.
func Rank(part, self string, others []string) int {
	weight := func(name string) uint64 { return xxhash.Sum64String(part + "\x00" + name) }
	rank := 0
	for _, name := range others {
		if name != self && weight(name) > weight(self) {
			rank++
		}
	}
	return rank
}

// End is the end of a target.
type End struct {
	Target string
	At     time.Time
	Begun  bool // a request with the part was being answered, and not only waiting
	// Trial states that the request was let through as a trial of the part. It is in Doubt
	// if the request had another part that was not known to be sound.
	Trial, Doubt bool
}

// Verdict states why a request is refused. The zero value refuses nothing.
type Verdict struct {
	Part       string // its name; "" if no part is blocked
	Ends       []End  // oldest first
	Confirmed  bool   // a trial has shown it
	RetryAfter time.Duration
	// More is how many other verdicts changed with this one and are not reported; see
	// Ledger.OnBlocked.
	More int
}

// Blocked reports whether the request is refused.
func (v Verdict) Blocked() bool { return v.Part != "" }

// Ledger holds what one instance knows of suspect and sound parts. The zero value is ready to
// use. It is safe for concurrent use.
type Ledger struct {
	// OnBlocked is called when a part is blocked, OnCleared when one is blocked no longer,
	// and OnTrial when this instance lets a request with it through. If more than maxReported
	// verdicts change at once, the last one that is reported counts the others. They must not call
	// methods of the Ledger, and may be nil.
	OnBlocked, OnCleared, OnTrial func(now time.Time, v Verdict)
	// OnNews is called when there is something to tell the other instances at once. It must
	// not call methods of the Ledger, and may be nil.
	OnNews func()

	mu      sync.Mutex
	records map[string]*record
	shapes  map[string]int       // records of requests by their shape
	sound   map[string]time.Time // by part; when a request with it was last answered in full
	alive   map[string]time.Time // by target; when the last request was sent that it answered
	ended   map[string]time.Time // by target; when it was last reported to have ended
	refuted map[string]refutation
	pending []shortAnswer
	broken  []broken

	pendingParts int // of the answers in pending

	brokenShapes map[string]bool // of the requests in broken; nil if it is to be made anew

	told  map[string]toldState // by peer
	swept time.Time

	lastChange time.Time // of any record or refutation
}

// record is what is known of a suspect part, or of a part that was one.
type record struct {
	request   bool      // the part is a whole request
	lasting   bool      // the store keeps the part, or did
	ends      []End     // sorted by time
	soundAt   time.Time // earlier ends do not count; zero if the part was never cleared
	trials    int       // started since the part was blocked
	lastTry   time.Time // start of the last of these trials
	lastAsked time.Time // last request with the part
	changedAt time.Time // last change that other instances have to hear of
	blocked   bool      // as last reported by OnBlocked or OnCleared
}

// refutation is the proof that a target had not ended when it was reported to have.
type refutation struct {
	at        time.Time // of the reported end
	changedAt time.Time
}

// shortAnswer is a complete answer whose target had begun it less than BeginningTime ago.
type shortAnswer struct {
	target  string
	firstAt time.Time // time of the first byte
	parts   []string
}

// Check returns whether the parts of a prompt, by their names, block a request. If several do,
// the verdict is on a confirmed one or else on the one that blocks for longest.
func (l *Ledger) Check(now time.Time, parts []string) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	blocked := l.blockedParts(parts)
	for _, part := range blocked {
		l.records[part].lastAsked = now
	}
	return l.worstVerdict(now, blocked)
}

// Peek returns what Check would, but does not count as a request with the parts.
func (l *Ledger) Peek(now time.Time, parts []string) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worstVerdict(now, slices.DeleteFunc(l.blockedParts(parts), func(part string) bool { return l.records[part].isExpired(now) }))
}

// worstVerdict returns the verdict on the blocked part that is confirmed or else blocks for
// longest. The caller must hold l.mu.
func (l *Ledger) worstVerdict(now time.Time, blocked []string) Verdict {
	var worst Verdict
	for _, part := range blocked {
		r := l.records[part]
		v := Verdict{Part: part}
		_, v.Confirmed = r.failedTrials()
		v.Confirmed = v.Confirmed && !l.isDoubtful(part, blocked)
		v.RetryAfter = max(l.nextTrial(part, blocked).Sub(now), 0)
		if !worst.Blocked() || v.Confirmed && !worst.Confirmed || v.Confirmed == worst.Confirmed && v.RetryAfter > worst.RetryAfter {
			worst = v
		}
	}
	if worst.Blocked() {
		worst.Ends = slices.Clone(l.records[worst.Part].ends)
	}
	return worst
}

// blockedParts returns those of the parts that are blocked. The caller must hold l.mu.
func (l *Ledger) blockedParts(parts []string) []string {
	if len(l.records) == 0 {
		return nil
	}
	var blocked []string
	for _, part := range parts {
		if r := l.records[part]; r != nil && r.isBlocked() {
			blocked = append(blocked, part)
		}
	}
	return blocked
}

// MayTry reports whether an instance of the rank may start a trial of the parts; see
// StartTrial.
func (l *Ledger) MayTry(now time.Time, parts []string, rank int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trialDue(now, l.blockedParts(parts), rank)
}

// trialDue reports whether trials of all the blocked parts are due. The caller must hold l.mu.
func (l *Ledger) trialDue(now time.Time, blocked []string, rank int) bool {
	early := slices.ContainsFunc(blocked, func(part string) bool {
		return now.Before(l.nextTrial(part, blocked).Add(time.Duration(rank) * trialRankDelay))
	})
	return len(blocked) > 0 && !early
}

// nextTrial returns the time from which a request with the blocked parts may be let through, as
// far as one of them goes. The caller must hold l.mu.
func (l *Ledger) nextTrial(part string, blocked []string) time.Time {
	r := l.records[part]
	if l.isDoubtful(part, blocked) {
		return r.nextDoubtfulTrial()
	}
	return r.nextTrial()
}

// isDoubtful reports whether trials have confirmed the verdict on a blocked part, but the same
// targets ended under another one, which a request with the given blocked parts lacks. A trial of
// the request then tells the two apart. The caller must hold l.mu.
func (l *Ledger) isDoubtful(part string, blocked []string) bool {
	r := l.records[part]
	if _, confirmed := r.failedTrials(); r.request || !confirmed {
		return false
	}
	var present map[string]bool // the blocked parts, once they are needed
	for name, other := range l.records {
		if other == r || other.request || !other.isBlocked() || !other.hasSameEnds(r) {
			continue
		}
		if present == nil {
			present = make(map[string]bool, len(blocked))
			for _, b := range blocked {
				present[b] = true
			}
		}
		if !present[name] {
			return true
		}
	}
	return false
}

// StartTrial reports whether this instance may send a request although its parts block it,
// and records that it does. The request must not be sent to a second target. The rank is that
// of the instance; see Rank.
//
// The trial counts for the last of the blocked parts only. The ones before it are more likely
// to be shared with sound requests, which then clear them by trials of their own.
func (l *Ledger) StartTrial(now time.Time, parts []string, rank int) bool {
	t, ok := l.PrepareTrial(now, parts, rank)
	if ok {
		l.ConfirmTrial(now, t)
	}
	return ok
}

// Trial is a trial that is prepared.
type Trial struct {
	Part     string
	Number   int // how many there were since the part was blocked, this one included
	previous time.Time
}

// PrepareTrial is like StartTrial, but tells nobody of the trial. ConfirmTrial or CancelTrial
// must follow.
func (l *Ledger) PrepareTrial(now time.Time, parts []string, rank int) (Trial, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	blocked := l.blockedParts(parts)
	if !l.trialDue(now, blocked, rank) {
		return Trial{}, false
	}
	part := blocked[len(blocked)-1]
	r := l.records[part]
	t := Trial{Part: part, Number: r.trials + 1, previous: r.lastTry}
	r.trials, r.lastTry = t.Number, now
	return t, true
}

// ConfirmTrial records that the request is sent.
func (l *Ledger) ConfirmTrial(now time.Time, t Trial) {
	l.mu.Lock()
	v := Verdict{Part: t.Part}
	if r := l.records[t.Part]; r != nil {
		l.touch(now, r)
		v = r.verdict(now, t.Part)
	}
	l.mu.Unlock()
	call(l.OnTrial, now, v)
	l.news()
}

// CancelTrial records that the request is not sent.
func (l *Ledger) CancelTrial(t Trial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.records[t.Part]; r != nil && r.trials == t.Number {
		r.trials, r.lastTry = t.Number-1, t.previous
	}
}

// Tracks reports whether what happens to requests of the shape matters: targets ended under
// some, or may have; see fingerprint.Request.
func (l *Ledger) Tracks(shape string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shapes[shape] > 0 || l.isBrokenShape(shape)
}

// RecordAlive records that a target answered a request that was sent to it at sentAt. The
// times of answers prove less: they may have been received before the target ended.
func (l *Ledger) RecordAlive(now, sentAt time.Time, target string) {
	l.mu.Lock()
	if l.alive == nil {
		l.alive = make(map[string]time.Time)
	}
	if sentAt.After(l.alive[target]) {
		l.alive[target] = sentAt
	}
	l.forgetBroken(func(b broken) bool { return b.run.Target == target && l.outlived(target, b.end.At) })
	at, ok := l.ended[target]
	if !ok || !l.outlived(target, at) {
		l.mu.Unlock()
		return
	}
	delete(l.ended, target)
	changed := l.refute(now, target, at)
	events := l.updateBlocked(now, changed)
	l.mu.Unlock()
	events.report(l, now)
	if len(changed) > 0 {
		l.news()
	}
}

// RecordAnswer records that a target answered a request in full, and began to at firstByteAt.
func (l *Ledger) RecordAnswer(now time.Time, target string, firstByteAt time.Time, parts []string) {
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	shared, request := split(parts)
	cleared := l.markSound(now, request)
	if len(request) > 0 {
		l.forgetBroken(func(b broken) bool { return slices.Contains(b.parts, request[0]) })
	}
	switch {
	case len(shared) == 0:
	case now.Sub(firstByteAt) >= BeginningTime:
		cleared = append(cleared, l.markSound(now, shared)...)
	case l.pendingParts+len(shared) > maxPendingParts: // it proves nothing
	case !l.soundUntil(shared).After(now.Add(soundTime / 2)): // otherwise it would add little
		l.pending = append(l.pending, shortAnswer{target: target, firstAt: firstByteAt, parts: shared})
		l.pendingParts += len(shared)
	}
	cleared = append(cleared, l.settlePending(now)...)
	l.mu.Unlock()
	l.reportCleared(now, cleared)
}

// RecordEnd records that a target ended while a request with the parts was open there. Of e
// it uses the fields but Doubt; Trial states that the request was a trial.
func (l *Ledger) RecordEnd(now time.Time, e End, parts []string) {
	l.mu.Lock()
	l.sweep(now)
	cleared := l.settlePending(now)
	blocked := l.blockedParts(parts)
	trial := e.Trial
	e.Trial, e.Doubt = false, false
	changed := l.addEnd(now, e, parts)
	if trial && len(blocked) > 0 {
		tried := blocked[len(blocked)-1:]
		shared, _ := split(parts)
		e.Trial = true
		e.Doubt = isRequest(tried[0]) || slices.ContainsFunc(shared, func(part string) bool {
			return !slices.Contains(blocked, part) && !l.isSound(e.At, part)
		})
		changed = append(changed, l.addEnd(now, e, tried)...)
	}
	changed = append(changed, l.blameShortAnswers(now, e.Target, e.At)...)
	events := l.updateBlocked(now, changed)
	l.mu.Unlock()
	l.reportCleared(now, cleared)
	events.report(l, now)
	if len(changed) > 0 {
		l.news()
	}
}

// Blocked returns the number of parts that are blocked.
func (l *Ledger) Blocked() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.records {
		if r.isBlocked() {
			n++
		}
	}
	return n
}

// addEnd attributes the end of a target to those of the parts that are not known to be sound,
// and returns those for which that is new. The caller must hold l.mu.
func (l *Ledger) addEnd(now time.Time, e End, parts []string) []string {
	if l.isRefuted(now, e) {
		return nil
	}
	if l.ended == nil {
		l.ended = make(map[string]time.Time)
	}
	if e.At.After(l.ended[e.Target]) {
		l.ended[e.Target] = e.At
	}
	var changed []string
	add := func(part string) {
		if !l.isSound(e.At, part) && l.record(now, part).addEnd(e) {
			l.touch(now, l.records[part])
			changed = append(changed, part)
		}
	}
	var unknown []string
	for _, part := range parts {
		if l.records[part] == nil {
			unknown = append(unknown, part)
			continue
		}
		add(part)
	}
	for _, part := range unknown { // last, as their records may take the place of others
		add(part)
	}
	return changed
}

// blameShortAnswers attributes the end of a target also to the parts of answers that it had
// just begun and completed. The caller must hold l.mu.
func (l *Ledger) blameShortAnswers(now time.Time, target string, at time.Time) []string {
	var changed []string
	l.pending = slices.DeleteFunc(l.pending, func(a shortAnswer) bool {
		if a.target != target || at.Sub(a.firstAt) > BeginningTime || a.firstAt.After(at) {
			return false
		}
		l.pendingParts -= len(a.parts)
		changed = append(changed, l.addEnd(now, End{Target: target, At: at, Begun: true}, a.parts)...)
		return true
	})
	return changed
}

// settlePending marks the parts of short answers as sound whose targets have not ended within
// BeginningTime, and returns the verdicts that no longer hold. The caller must hold l.mu.
func (l *Ledger) settlePending(now time.Time) []Verdict {
	var cleared []Verdict
	l.pending = slices.DeleteFunc(l.pending, func(a shortAnswer) bool {
		if now.Sub(a.firstAt) < BeginningTime {
			return false
		}
		l.pendingParts -= len(a.parts)
		cleared = append(cleared, l.markSound(now, a.parts)...)
		return true
	})
	return cleared
}

// markSound records that a request with the parts was answered in full, and returns the
// verdicts that no longer hold. The caller must hold l.mu.
func (l *Ledger) markSound(now time.Time, parts []string) []Verdict {
	if l.sound == nil {
		l.sound = make(map[string]time.Time)
	}
	var cleared []Verdict
	for _, part := range parts {
		if !isRequest(part) {
			l.sound[part] = now
		}
		if r := l.records[part]; r != nil && len(r.ends) > 0 {
			cleared = append(cleared, r.clear(now, part)...)
			l.touch(now, r)
		}
	}
	return cleared
}

// isSound reports whether a request with the part was answered in full after the time at or,
// for a shared part, within soundTime before it. The caller must hold l.mu.
func (l *Ledger) isSound(at time.Time, part string) bool {
	soundAt, ok := l.sound[part]
	excused := soundTime
	if r := l.records[part]; r != nil && r.soundAt.After(soundAt) {
		soundAt, ok, excused = r.soundAt, true, r.excusedTime()
	}
	return ok && at.Sub(soundAt) <= excused
}

// isRefuted reports whether the target is known to have answered after its reported end. The
// caller must hold l.mu.
func (l *Ledger) isRefuted(now time.Time, e End) bool {
	if r, ok := l.refuted[e.Target]; ok && r.at.Sub(e.At).Abs() < sameEndTime {
		return true
	}
	if !l.outlived(e.Target, e.At) {
		return false
	}
	l.refute(now, e.Target, e.At)
	return true
}

// outlived reports whether the target answered a request that was sent shortly after it was
// reported to have ended. The caller must hold l.mu.
func (l *Ledger) outlived(target string, at time.Time) bool {
	after := l.alive[target].Sub(at)
	return after > refuteAfter && after <= refuteBefore
}

// refute records that the target had not ended at the given time and removes the end from all
// records. The caller must hold l.mu.
func (l *Ledger) refute(now time.Time, target string, at time.Time) []string {
	if r, ok := l.refuted[target]; ok && r.at.Sub(at).Abs() < sameEndTime {
		return nil
	}
	if l.refuted == nil {
		l.refuted = make(map[string]refutation)
	}
	l.refuted[target] = refutation{at: at, changedAt: now}
	l.lastChange = now
	var changed []string
	for part, r := range l.records {
		n := len(r.ends)
		r.ends = slices.DeleteFunc(r.ends, func(e End) bool { return e.Target == target && e.At.Sub(at).Abs() < sameEndTime })
		if len(r.ends) < n {
			changed = append(changed, part)
		}
	}
	return changed
}

// record returns the record of the part. If there are too many, it makes room first. The
// caller must hold l.mu.
func (l *Ledger) record(now time.Time, part string) *record {
	if r := l.records[part]; r != nil {
		return r
	}
	if l.records == nil {
		l.records = make(map[string]*record)
	}
	if len(l.records) >= maxRecords {
		l.evictLeast()
	}
	r := &record{lastAsked: now}
	l.records[part] = r
	if shape, ok := fingerprint.ShapeOf(part); ok {
		if l.shapes == nil {
			l.shapes = make(map[string]int)
		}
		r.request = true
		l.shapes[shape]++
	}
	return r
}

// forget deletes the record of the part. The caller must hold l.mu.
func (l *Ledger) forget(part string) {
	delete(l.records, part)
	shape, ok := fingerprint.ShapeOf(part)
	if !ok {
		return
	}
	if l.shapes[shape]--; l.shapes[shape] <= 0 {
		delete(l.shapes, shape)
	}
}

// evictLeast deletes an eighth of the records: those with the fewest ends and, of these, those
// that changed the longest ago.
func (l *Ledger) evictLeast() {
	list := l.sorted((*record).lastChange, func(*record) bool { return true })
	for _, p := range list[len(list)-max(len(list)/8, 1):] {
		l.forget(p.name)
	}
}

// namedRecord is a record with the name of its part.
type namedRecord struct {
	name string
	*record
}

// sorted returns the records for which include returns true: those with the most ends first and,
// of these, those with the latest time. The caller must hold l.mu.
func (l *Ledger) sorted(at func(r *record) time.Time, include func(r *record) bool) []namedRecord {
	var list []namedRecord
	for name, r := range l.records {
		if include(r) {
			list = append(list, namedRecord{name, r})
		}
	}
	slices.SortFunc(list, func(a, b namedRecord) int {
		return cmp.Or(cmp.Compare(len(b.ends), len(a.ends)), at(b.record).Compare(at(a.record)), cmp.Compare(a.name, b.name))
	})
	return list
}

// sweepInterval is the time between two removals of what is no longer needed.
const sweepInterval = time.Second

// sweep removes what is older than its retention. The caller must hold l.mu.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	for part, r := range l.records {
		if r.isExpired(now) {
			l.forget(part)
		}
	}
	l.forgetBroken(func(b broken) bool { return now.Sub(b.end.At) >= confirmTime })
	deleteOlder(l.sound, now.Add(-soundTime))
	if len(l.sound) > maxSound {
		times := slices.SortedFunc(maps.Values(l.sound), time.Time.Compare)
		deleteOlder(l.sound, times[len(times)-maxSound])
	}
	deleteOlder(l.alive, now.Add(-soundTime))
	deleteOlder(l.ended, now.Add(-soundTime))
	for target, r := range l.refuted {
		if now.Sub(r.changedAt) > soundTime {
			delete(l.refuted, target)
		}
	}
	for peer, t := range l.told {
		if now.Sub(t.at) > retention {
			delete(l.told, peer)
		}
	}
}

func deleteOlder(m map[string]time.Time, than time.Time) {
	for key, at := range m {
		if at.Before(than) {
			delete(m, key)
		}
	}
}

// soundUntil returns the time up to which all of the parts are known to be sound, unless one of
// them has a record. It is zero for a part that is not known. The caller must hold l.mu.
func (l *Ledger) soundUntil(parts []string) time.Time {
	var until time.Time
	for i, part := range parts {
		if l.records[part] != nil {
			return time.Time{}
		}
		at, ok := l.sound[part]
		if !ok {
			return time.Time{}
		}
		if at = at.Add(soundTime); i == 0 || at.Before(until) {
			until = at
		}
	}
	return until
}

// touch records a change that other instances have to hear of. The caller must hold l.mu.
func (l *Ledger) touch(now time.Time, r *record) { r.changedAt, l.lastChange = now, now }

// split returns the shared parts of a request, and the request itself if its name is the last of
// the parts.
func split(parts []string) (shared, request []string) {
	if n := len(parts); n > 0 && isRequest(parts[n-1]) {
		return parts[:n-1], parts[n-1:]
	}
	return parts, nil
}

// isRequest reports whether the part is a whole request.
func isRequest(part string) bool {
	_, ok := fingerprint.ShapeOf(part)
	return ok
}

func (l *Ledger) news() {
	if l.OnNews != nil {
		l.OnNews()
	}
}

func (l *Ledger) reportCleared(now time.Time, cleared []Verdict) {
	callEach(l.OnCleared, now, cleared)
	if len(cleared) > 0 {
		l.news()
	}
}

// callEach calls f with the first maxReported verdicts.
func callEach(f func(time.Time, Verdict), now time.Time, list []Verdict) {
	for i, v := range list[:min(len(list), maxReported)] {
		if i == maxReported-1 {
			v.More = len(list) - maxReported
		}
		call(f, now, v)
	}
}

func call(f func(time.Time, Verdict), now time.Time, v Verdict) {
	if f != nil {
		f(now, v)
	}
}
