package edge

import (
	"time"

	"chervilyard.example/yard/membership"
)

// issuingShare returns the part of a limit that this instance may issue. On the smaller side
// of a cut it is small, so that both sides together keep within the limit's tolerance.
func (e *Edge) issuingShare(now time.Time) float64 {
	region := e.Settings().Region
	silence := e.cutSilence()
	all := poll{oldest: e.self(now), oldestIsLive: true, known: 1, live: 1}
	var settled poll
	if now.Sub(e.started) >= settledAge {
		settled = all
	}
	for _, m := range e.sharingMembers(now) {
		isLive := now.Sub(m.Heard) <= silence
		if m.Region != region || !isLive && m.Leaving {
			continue
		}
		all.add(m, isLive)
		if now.Sub(m.Started()) >= settledAge {
			settled.add(m, isLive)
		}
	}
	if _, size := e.toldSizes(now); size > all.known {
		all.known, all.oldestIsLive = size, false
	}
	if 2*settled.known >= all.known {
		return settled.share()
	}
	return all.share()
}

// cutSilence returns the time without a heartbeat after which a member counts as cut off.
func (e *Edge) cutSilence() time.Duration {
	if d := e.division.Load(); d != nil && d.Pooled() {
		return hubSilence
	}
	return directSilence
}

// poll counts the instances of a region that are heard, among those that are known. Members
// that are silent for less than shareRetention count as cut off, unless they said that they
// stop. Both sides of a cut have to count the same instances, so those that started during
// the cut are left out if there are enough others.
type poll struct {
	known, live  int
	oldest       membership.Member
	oldestIsLive bool
}

func (p *poll) add(m membership.Member, isLive bool) {
	if p.known == 0 || membership.Rank(p.oldest, []membership.Member{m}) > 0 {
		p.oldest, p.oldestIsLive = m, isLive
	}
	p.known++
	if isLive {
		p.live++
	}
}

// share returns the part of a limit that those that are heard may issue.
func (p *poll) share() float64 {
	if 2*p.live > p.known || 2*p.live == p.known && p.oldestIsLive {
		return 1
	}
	return float64(p.live) / float64(p.known) / 2
}
