package choice

import "github.com/cespare/xxhash/v2"

const maxWarm = 1 << 14 // prompt blocks remembered for one target

// warmth remembers which prompt blocks were sent to which target. It is a
// belief: an engine may have dropped them.
type warmth struct {
	targets map[string]*blocks
}

// blocks is a set with a bounded age: when young is full, it becomes old.
type blocks struct {
	young, old map[uint64]struct{}
}

func (w *warmth) add(name string, prefix []uint64) {
	if len(prefix) == 0 {
		return
	}
	if w.targets == nil {
		w.targets = make(map[string]*blocks)
	}
	b, ok := w.targets[name]
	if !ok {
		b = &blocks{young: make(map[uint64]struct{})}
		w.targets[name] = b
	}
	for _, h := range prefix {
		b.young[h] = struct{}{}
	}
	if len(b.young) > maxWarm/2 {
		b.old, b.young = b.young, make(map[uint64]struct{})
	}
}

// blocks returns how many blocks from the start the target is believed to hold.
func (w *warmth) blocks(name string, prefix []uint64) int {
	b, ok := w.targets[name]
	if !ok {
		return 0
	}
	for i, h := range prefix {
		_, young := b.young[h]
		_, old := b.old[h]
		if !young && !old {
			return i
		}
	}
	return len(prefix)
}

func (w *warmth) forget(name string) { delete(w.targets, name) }

// BlockBytes is the size of a prompt block whose warmth is followed.
const BlockBytes = 256

const maxBlocks = 256

// Prefix returns the chained hashes of a prompt's whole blocks. The salt keeps
// the prompts of customers apart.
func Prefix(salt string, prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	hashes := make([]uint64, 0, n)
	d := xxhash.New()
	_, _ = d.WriteString(salt) // never fails
	for i := range n {
		_, _ = d.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
