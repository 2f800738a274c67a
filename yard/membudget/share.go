package membudget

const (
	// processMemory is what an instance uses without requests, with the largest lists that were
	// measured (25 to 30 MB).
	processMemory = 32 << 20
	// softLimitRatio is the part of the memory limit from which the collector of an instance works harder.
	softLimitRatio = 0.8
	// garbageFactor is how much memory a held byte needs at most, with what the collector has
	// not freed yet and with the buffers of its connections.
	garbageFactor = 2
	// minBudgetRatio is the least part of the memory limit for requests. Below a limit of
	// about 45 MB the instance needs more memory than it has anyway.
	minBudgetRatio = 0.125
)

// Share returns how many bytes all requests together may hold in a process with a memory limit
// in bytes. It is 0, for no bound, if the limit is 0.
func Share(limit int64) int64 {
	if limit <= 0 {
		return 0
	}
	left := int64(softLimitRatio*float64(limit)) - processMemory
	return max(left/garbageFactor, int64(minBudgetRatio*float64(limit)))
}
