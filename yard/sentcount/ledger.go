// Package sentcount counts the prompt tokens that the instances of a region send to each target.
// Instances exchange sums since their start, so that a report that is lost only delays what it
// tells.
package sentcount

import (
	"iter"
	"time"
)

// activeTime is how long a target is reported after tokens were sent to it last. It bridges
// several lost reports.
const activeTime = time.Second

// maxGap bounds the time over which what a report tells is taken to have been sent.
const maxGap = time.Second

// Ledger holds the sums of this instance and of the others, by target, modulo 2^32. The zero
// value is ready to use. It is not safe for concurrent use.
type Ledger struct {
	own      map[string]uint32
	sentAt   map[string]time.Time // when tokens were last known to be sent
	peers    map[string]*source   // instances that report their own sums
	total    map[string]uint32    // of the peers, since each was first heard
	hubs     map[string]*source   // instances that report sums over others
	known    map[string]uint32    // the largest sum that hubs reported
	hubsTold time.Time            // when the last of these was written
}

// source is what one instance reported.
type source struct {
	at     time.Time         // when the last report was written
	last   map[string]uint32 // sums in it
	sum    map[string]uint32 // of a peer: what counts in Ledger.total
	offset map[string]uint32 // of a hub: what makes its sums those of Ledger.known
}

func newSource() *source {
	return &source{last: make(map[string]uint32), sum: make(map[string]uint32), offset: make(map[string]uint32)}
}

// Send records tokens that this instance sends to a target.
func (l *Ledger) Send(now time.Time, target string, tokens int) {
	if l.own == nil {
		l.own = make(map[string]uint32)
	}
	l.own[target] += uint32(tokens)
	l.touch(now, target)
}

func (l *Ledger) touch(now time.Time, target string) {
	if l.sentAt == nil {
		l.sentAt = make(map[string]time.Time)
	}
	l.sentAt[target] = now
}

// Active reports whether tokens were sent to the target so recently that it is to be reported.
func (l *Ledger) Active(now time.Time, target string) bool {
	at, ok := l.sentAt[target]
	return ok && now.Sub(at) <= activeTime
}

// Own returns the tokens that this instance has sent to a target.
func (l *Ledger) Own(target string) uint32 { return l.own[target] }

// Without returns the tokens that this instance and its peers but the named one have sent to a
// target, as a hub tells that one.
func (l *Ledger) Without(peer, target string) uint32 {
	sum := l.own[target] + l.total[target]
	if s := l.peers[peer]; s != nil {
		sum -= s.sum[target]
	}
	return sum
}

// HearPeer takes the sums that a peer reported at a time, and calls add with the tokens that
// are new and the time at which they were sent on average. The first sum of a peer for a target, and
// one below its last, of a restart, only set the base.
func (l *Ledger) HearPeer(written time.Time, peer string, sums iter.Seq2[string, uint32], add func(target string, tokens int, sentAt time.Time)) {
	if l.peers == nil {
		l.peers, l.total = make(map[string]*source), make(map[string]uint32)
	}
	s := l.peers[peer]
	if s == nil {
		s = newSource()
		l.peers[peer] = s
	}
	if written.Before(s.at) {
		return // a slower message
	}
	middle := middleOf(s.at, written)
	s.at = written
	for target, sum := range sums {
		last, heard := s.last[target]
		s.last[target] = sum
		if n := int32(sum - last); heard && n > 0 {
			s.sum[target] += uint32(n)
			l.total[target] += uint32(n)
			l.touch(written, target)
			add(target, int(n), middle)
		}
	}
}

// HearHub is as HearPeer for the sums that a hub reports over all other instances. Several hubs
// report what the same instances sent, so only what exceeds the largest sum known is new.
func (l *Ledger) HearHub(written time.Time, hub string, sums iter.Seq2[string, uint32], add func(target string, tokens int, sentAt time.Time)) {
	if l.hubs == nil {
		l.hubs, l.known = make(map[string]*source), make(map[string]uint32)
	}
	s := l.hubs[hub]
	if s == nil {
		s = newSource()
		l.hubs[hub] = s
	}
	if written.Before(s.at) {
		return // a slower message
	}
	middle := middleOf(l.hubsTold, written)
	s.at, l.hubsTold = written, written
	for target, sum := range sums {
		last, heard := s.last[target]
		s.last[target] = sum
		if !heard || int32(sum-last) < 0 {
			s.offset[target] = l.known[target] - sum
			continue
		}
		if n := int32(sum + s.offset[target] - l.known[target]); n > 0 {
			l.known[target] += uint32(n)
			add(target, int(n), middle)
		}
	}
}

// middleOf returns the middle of the time from the last report to a new one.
func middleOf(last, written time.Time) time.Time {
	if last.IsZero() || last.After(written) {
		return written
	}
	return written.Add(-min(written.Sub(last), maxGap) / 2)
}

// Forget drops the sums of a target that has left.
func (l *Ledger) Forget(target string) {
	delete(l.own, target)
	delete(l.sentAt, target)
	delete(l.total, target)
	delete(l.known, target)
	for _, list := range []map[string]*source{l.peers, l.hubs} {
		for _, s := range list {
			delete(s.last, target)
			delete(s.sum, target)
			delete(s.offset, target)
		}
	}
}
