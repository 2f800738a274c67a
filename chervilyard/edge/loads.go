package edge

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/placement"
)

// targetHash returns the hash that identifies a target in heartbeats.
func targetHash(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// encodeLoads converts loads to their form in heartbeats.
func encodeLoads(list []placement.Load) *fleet.Loads {
	h := &fleet.Loads{
		Targets: make([]uint32, 0, len(list)), Open: make([]uint32, 0, len(list)),
		Waiting: make([]uint32, 0, len(list)), Memory: make([]uint32, 0, len(list)),
		Answered: make([]uint32, 0, len(list)), Failed: make([]uint32, 0, len(list)),
	}
	tellsLesser := slices.ContainsFunc(list, func(l placement.Load) bool { return l.LesserOpen > 0 })
	tellsSamples := slices.ContainsFunc(list, func(l placement.Load) bool { return l.Samples > 0 })
	for _, l := range list {
		h.Targets = append(h.Targets, targetHash(l.Target))
		h.Open = append(h.Open, uint32(max(l.Open, 0)))
		h.Waiting = append(h.Waiting, uint32(max(l.WaitingTokens, 0)))
		h.Memory = append(h.Memory, uint32(max(l.MemoryTokens, 0)))
		if tellsLesser {
			h.Lesser = append(h.Lesser, uint32(max(l.LesserOpen, 0)))
			h.Unread = append(h.Unread, uint32(max(l.LesserWaiting, 0)))
		}
		h.Sent = append(h.Sent, l.Sent)
		if tellsSamples {
			h.Samples = append(h.Samples, uint32(max(l.Samples, 0)))
			h.Ratios = append(h.Ratios, int32(l.RatioSum))
		}
		h.Answered = append(h.Answered, uint32(max(l.Answered, 0)))
		h.Failed = append(h.Failed, uint32(max(l.Failed, 0)))
	}
	return h
}

// decodeLoads converts loads from a heartbeat. It omits targets that are not in this
// instance's list, since no requests are sent to them.
func (t *targetList) decodeLoads(h *fleet.Loads) []placement.Load {
	n := min(len(h.GetTargets()), len(h.GetOpen()), len(h.GetWaiting()), len(h.GetMemory()))
	list := make([]placement.Load, 0, n)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range n {
		if name, ok := t.byHash[h.GetTargets()[i]]; ok {
			l := placement.Load{Target: name, Open: int(h.GetOpen()[i]), WaitingTokens: int(h.GetWaiting()[i]), MemoryTokens: int(h.GetMemory()[i])}
			if i < min(len(h.GetLesser()), len(h.GetUnread())) {
				l.LesserOpen, l.LesserWaiting = int(h.GetLesser()[i]), int(h.GetUnread()[i])
			}
			if i < len(h.GetSent()) {
				l.Sent = h.GetSent()[i]
			}
			if i < min(len(h.GetSamples()), len(h.GetRatios())) {
				l.Samples, l.RatioSum = int(h.GetSamples()[i]), int(h.GetRatios()[i])
			}
			if i < min(len(h.GetAnswered()), len(h.GetFailed())) { // instances of older versions send none
				l.Answered, l.Failed = int(h.GetAnswered()[i]), int(h.GetFailed()[i])
			}
			list = append(list, l)
		}
	}
	return list
}
