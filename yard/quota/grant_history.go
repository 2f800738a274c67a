package quota

const maxGrantsPerGeneration = 4096

// grantHistory records recent grants by ID. It keeps two generations and
// discards the older one when the younger is full, which bounds its size. A
// grant that has been discarded is not refunded. The zero value is empty.
type grantHistory struct {
	young, old map[uint64]Ticket
}

func (h *grantHistory) find(id uint64) (Ticket, bool) {
	if t, ok := h.young[id]; ok {
		return t, true
	}
	t, ok := h.old[id]
	return t, ok
}

func (h *grantHistory) put(id uint64, t Ticket) {
	if h.young == nil || len(h.young) >= maxGrantsPerGeneration {
		h.old, h.young = h.young, make(map[uint64]Ticket)
	}
	h.young[id] = t
}
