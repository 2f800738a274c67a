package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/target"
)

// Home returns the target among the candidates that all instances prefer for a
// prompt's shared parts, by rendezvous hashing, so that each part is read at few
// targets. It returns false where the prompt shares nothing.
func Home(candidates []target.Target, parts []Part) (target.Target, bool) {
	var home target.Target
	if len(parts) < 2 {
		return home, false
	}
	key := parts[len(parts)-2].ID // the last part is the request's own
	found, top := false, uint64(0)
	for _, t := range candidates {
		if h := xxhash.Sum64String(key + "\x00" + t.Name()); !found || h > top {
			home, found, top = t, true, h
		}
	}
	return home, found
}

// Abroad returns the estimate for a request that waits so long for those before
// it in another region and on its way, which may hold the home of its shared parts.
func (p *Picker) Abroad(r Request, room time.Duration, home bool) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	hit := 0
	if home && len(r.Parts) > 0 {
		for _, part := range r.Parts[:len(r.Parts)-1] {
			hit += part.Tokens
		}
	}
	wait := room + milliseconds(p.own(r, r.Prompt-hit))
	return Estimate{Wait: wait, Cost: wait - milliseconds(p.saved(r, hit)*affinity)}
}

// saved returns the milliseconds of reading that a hit saves the target.
func (p *Picker) saved(r Request, hit int) float64 {
	_, perToken := p.line(r.Service.Name())
	return float64(hit) * perToken
}

// halted returns the milliseconds that a target's pauses weigh.
func (p *Picker) halted(now time.Time, s *state, service string) float64 {
	gap := p.gaps[service]
	if gap <= 0 {
		return 0
	}
	over := s.pauseNow(now)/(gap.Seconds()*1000) - pauseFree
	return max(over, 0) / (1 - pauseFree) * pauseCost
}

// own returns the milliseconds that the request itself takes to its first byte
// where so many of its prompt's tokens have to be read.
func (p *Picker) own(r Request, fresh int) float64 {
	if r.Service.Slots() == 0 {
		return p.answer(r.Service.Name())
	}
	base, perToken := p.line(r.Service.Name())
	return base + float64(fresh)*perToken
}

// queue returns the milliseconds that a request would wait for those before it.
func (p *Picker) queue(now time.Time, t *target.Target, r Request) float64 {
	s := p.state(t.Name())
	open, waiting, memory := p.total(now, t.Name(), s)
	answer := p.answer(r.Service.Name())
	if s.answer > 0 {
		answer = s.answer
	}
	slots := max(t.Capacity(), 1)
	queued := 0.0
	if open >= slots {
		queued = float64(open-slots+1) / float64(slots) * answer
	}
	if limit := r.Service.Memory(); limit > 0 && memory+r.Prompt+r.Output > limit {
		queued = max(queued, answer*float64(memory+r.Prompt+r.Output-limit)/float64(limit))
	}
	crowd := crowded * float64(open) / float64(slots)
	if r.Service.Slots() == 0 {
		return queued + answer*(crowd+s.failRate(now)*failurePenalty)
	}
	base, perToken := p.line(r.Service.Name())
	queued += base * s.failRate(now) * failurePenalty
	queued += p.halted(now, s, r.Service.Name())
	return queued + ((float64(waiting)+crowd*float64(r.Prompt))*perToken+crowd*base)*s.pace()
}

// total returns what all instances have open at the target.
func (p *Picker) total(now time.Time, name string, s *state) (open, waiting, memory int) {
	open, waiting, memory = s.open, s.waiting, s.memory
	for _, peer := range p.peers {
		if now.Sub(peer.at) > peerNews {
			continue
		}
		l := peer.loads[name]
		open += l.Open
		waiting += l.Waiting
		memory += l.Memory
	}
	return open, waiting, memory
}

// hit returns how many of the prompt's tokens the target likely holds: what this
// instance sent there of late, or at the home of the shared parts what the other
// instances did.
func (p *Picker) hit(now time.Time, s *state, parts []Part, home bool) int {
	tokens := 0
	for i, part := range parts {
		used, ok := s.parts[part.ID]
		recent := ok && now.Sub(used) <= cached
		shared := home && i < len(parts)-1
		if !recent && !shared {
			return tokens
		}
		tokens += part.Tokens
	}
	return tokens
}

// line returns the milliseconds of an empty prompt and of each prompt token.
func (p *Picker) line(service string) (base, perToken float64) {
	l := p.reading[service]
	if l == nil {
		return guessAnswer, guessPerToken
	}
	return l.at(guessAnswer, guessPerToken)
}

func (p *Picker) answer(service string) float64 {
	if v := p.answers[service]; v > 0 {
		return v
	}
	return guessAnswer
}

func (p *Picker) learnGap(service string, gap time.Duration) {
	if p.gaps == nil {
		p.gaps = make(map[string]time.Duration)
	}
	if old, ok := p.gaps[service]; !ok || gap < old {
		p.gaps[service] = gap
	}
}
