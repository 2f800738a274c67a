package outlier

import "maps"

// Clone returns a detector with the same state that shares nothing with d that either changes.
// It has neither Random nor OnChange.
func (d *Detector) Clone() Detector {
	return Detector{
		own: cloneValues(d.own), reports: maps.Clone(d.reports), expiry: d.expiry, totals: maps.Clone(d.totals),
		sum: maps.Clone(d.sum), sumAt: d.sumAt, lastFailure: d.lastFailure, outlierFrom: maps.Clone(d.outlierFrom),
		services: cloneValues(d.services), ejections: cloneValues(d.ejections), active: d.active,
	}
}

// cloneValues returns a copy of m with copies of what its values point to.
func cloneValues[T any](m map[string]*T) map[string]*T {
	c := make(map[string]*T, len(m))
	for k, v := range m {
		copied := *v
		c[k] = &copied
	}
	return c
}
