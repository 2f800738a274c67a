package balancer

import "github.com/cespare/xxhash/v2"

const maxTrackedBlocks = 1 << 14 // prompt blocks per target

// prefixTracker records which prompt blocks were sent to which target. It only
// estimates what is cached there, since an engine may have evicted blocks.
type prefixTracker struct {
	targets map[string]*blockSet
}

// blockSet is a set of block hashes in two generations. When the current one is
// full, it replaces the previous one.
type blockSet struct {
	current, previous map[uint64]struct{}
}

func (p *prefixTracker) add(name string, prefix []uint64) {
	if len(prefix) == 0 {
		return
	}
	if p.targets == nil {
		p.targets = make(map[string]*blockSet)
	}
	b, ok := p.targets[name]
	if !ok {
		b = &blockSet{current: make(map[uint64]struct{})}
		p.targets[name] = b
	}
	for _, h := range prefix {
		b.current[h] = struct{}{}
	}
	if len(b.current) > maxTrackedBlocks/2 {
		b.previous, b.current = b.current, make(map[uint64]struct{})
	}
}

// cachedBlocks returns how many leading blocks of the prefix the target is assumed
// to have cached.
func (p *prefixTracker) cachedBlocks(name string, prefix []uint64) int {
	b, ok := p.targets[name]
	if !ok {
		return 0
	}
	for i, h := range prefix {
		_, inCurrent := b.current[h]
		_, inPrevious := b.previous[h]
		if !inCurrent && !inPrevious {
			return i
		}
	}
	return len(prefix)
}

// forget removes the blocks of a target, whose cache is assumed to be lost.
func (p *prefixTracker) forget(name string) { delete(p.targets, name) }

// BlockBytes is the size of a prompt block, the unit in which cached prefixes are
// tracked.
const BlockBytes = 256

const maxPrefixBlocks = 256 // later blocks of a prompt are not tracked

// PrefixHashes returns the chained hashes of the complete blocks of a prompt, up to
// maxPrefixBlocks. Equal prompts with different salts, such as those of two
// customers, have different hashes.
func PrefixHashes(salt string, prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxPrefixBlocks)
	hashes := make([]uint64, 0, n)
	digest := xxhash.New()
	_, _ = digest.WriteString(salt) // never fails
	for i := range n {
		_, _ = digest.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
