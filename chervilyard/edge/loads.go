package edge

import (
	"github.com/cespare/xxhash/v2"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/placement"
)

// short is the name that heartbeats use for a target.
func short(target string) uint32 { return uint32(xxhash.Sum64String(target)) }

// pack writes loads for a heartbeat.
func pack(list []placement.Load) *fleet.Loads {
	h := &fleet.Loads{}
	for _, l := range list {
		h.Targets = append(h.Targets, short(l.Target))
		h.Open = append(h.Open, uint32(l.Open))
		h.Waiting = append(h.Waiting, uint32(max(l.Waiting, 0)))
		h.Memory = append(h.Memory, uint32(max(l.Memory, 0)))
	}
	return h
}

// unpack reads loads from a heartbeat. Those of targets that are not listed here
// are left out: nothing is sent there.
func (t *targets) unpack(h *fleet.Loads) []placement.Load {
	n := min(len(h.GetTargets()), len(h.GetOpen()), len(h.GetWaiting()), len(h.GetMemory()))
	list := make([]placement.Load, 0, n)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range n {
		if name, ok := t.names[h.GetTargets()[i]]; ok {
			list = append(list, placement.Load{
				Target: name, Open: int(h.GetOpen()[i]), Waiting: int(h.GetWaiting()[i]), Memory: int(h.GetMemory()[i]),
			})
		}
	}
	return list
}
