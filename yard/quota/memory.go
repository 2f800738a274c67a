package quota

const maxGrants = 4096 // in one generation

// memory remembers grants in two generations, so that it stays bounded: a grant
// that is forgotten gets no refund. The zero value is empty.
type memory struct {
	young, old map[uint64]Ticket
}

func (m *memory) find(id uint64) (Ticket, bool) {
	if t, ok := m.young[id]; ok {
		return t, true
	}
	t, ok := m.old[id]
	return t, ok
}

func (m *memory) keep(id uint64, t Ticket) {
	if m.young == nil || len(m.young) >= maxGrants {
		m.old, m.young = m.young, make(map[uint64]Ticket)
	}
	m.young[id] = t
}
