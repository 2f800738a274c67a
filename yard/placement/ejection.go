package placement

import (
	"cmp"
	"slices"
	"time"

	"chervilyard.example/yard/outlier"
	"chervilyard.example/yard/target"
)

// Ejected returns the number of targets that are ejected because their requests fail far more
// often than those of the others.
func (p *Picker) Ejected() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outliers.Ejected()
}

// assess sets the ejected targets that a choice among the candidates leaves out: none if no
// other candidate can be used. The caller must hold p.mu.
func (p *Picker) assess(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) {
	if p.outliers.OnChange == nil {
		p.outliers.Random, p.outliers.OnChange = p.Random, func(now time.Time, c outlier.Change) {
			if p.OnOutlier != nil {
				p.OnOutlier(now, c)
			}
		}
	}
	p.leftOut = nil
	if r.Lesser && r.Service.Slots() > 0 {
		p.lesserLimits = p.classLimits(now, r.Service.Name())
	}
	p.assessment = p.outliers.Assess(now, r.Service.Name(), candidates, coldShare.Instances)
	if p.assessment == nil || len(p.assessment.LeftOut) == 0 {
		return
	}
	if slices.ContainsFunc(candidates, func(t target.Target) bool {
		return !p.assessment.LeftOut[t.Name()] && !slices.Contains(r.Exclude, t.Name()) && p.usable(now, &t, r, coldShare)
	}) {
		p.leftOut = p.assessment.LeftOut
	}
}

// chooseEjected returns a ticket for an ejected target if the request may be a trial of it, and
// nil otherwise. A request that failed elsewhere is no trial. The caller must hold p.mu, and
// assess must have been called.
func (p *Picker) chooseEjected(now time.Time, candidates []target.Target, r Request, coldShare ColdShare) *Ticket {
	if len(p.leftOut) == 0 || len(r.Exclude) > 0 {
		return nil
	}
	leftOut := p.leftOut
	p.leftOut = nil
	defer func() { p.leftOut = leftOut }()
	for i := range candidates {
		t := &candidates[i]
		if !leftOut[t.Name()] || !p.outliers.IsTrialDue(now, t.Name(), r.Repeatable) {
			continue
		}
		best, e := p.best(now, candidates[i:i+1], r, coldShare)
		if best == nil || r.WaitLimit > 0 && e.Wait > r.WaitLimit {
			continue
		}
		p.outliers.StartTrial(now, t.Name())
		ticket := p.newTicket(now, *t, r, e.Wait, coldShare)
		_, ticket.limited = p.rateLimit(now, t)
		return ticket
	}
	return nil
}

// outcomes returns the outcomes among loads that have any.
func outcomes(loads []Load) []outlier.Count {
	var list []outlier.Count
	for _, l := range loads {
		if l.Answered > 0 || l.Failed > 0 {
			list = append(list, outlier.Count{Target: l.Target, Answered: l.Answered, Failed: l.Failed})
		}
	}
	return list
}

// withOutcomes returns the load with the given outcomes.
func (l Load) withOutcomes(c outlier.Count) Load {
	l.Target, l.Answered, l.Failed = c.Target, c.Answered, c.Failed
	return l
}

// addOutcomes adds outcomes to loads. Both are sorted by target.
func addOutcomes(loads []Load, counts []outlier.Count) []Load {
	for _, c := range counts {
		i, ok := slices.BinarySearchFunc(loads, c.Target, func(l Load, name string) int { return cmp.Compare(l.Target, name) })
		if !ok {
			loads = slices.Insert(loads, i, Load{})
		}
		loads[i] = loads[i].withOutcomes(c)
	}
	return loads
}
