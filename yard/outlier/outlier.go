// Package outlier detects targets whose requests fail far more often than those of the other
// targets of their service, from the outcomes that this instance and others observe.
package outlier

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilyard.example/yard/target"
)

const (
	// reportedFailures bounds the failures at one target that count of one reporter. Two
	// reporters are needed to reach minFailures, also in a sum that names no reporters.
	reportedFailures = 2
	minFailures      = reportedFailures + 1
	// A target is ejected if its failure ratio is above the baseline of its service by minExcess
	// and by deviations standard deviations of the baseline. Windows are compared up to twenty
	// times a second for each target; five deviations keep chance from ejecting one.
	minExcess  = 0.5
	deviations = 5
	// minBaseline keeps a service without failures from having no deviation.
	minBaseline = 0.05
	// confirmTime is how long a target has to be an outlier. Where all targets begin to fail at
	// once, the first of them to be tried is one until requests to the others have failed, too.
	confirmTime = 200 * time.Millisecond
	// maxLeftOutFraction is the inverse of the largest part of a service's targets left out.
	maxLeftOutFraction = 3
	// A reporter that sees unreachableRatio of its requests fail, at minUnreachable targets or
	// more, is taken to be cut off or faulty itself.
	unreachableRatio = 0.8
	minUnreachable   = 3
	// A report from an instance and a sum from a hub that contains it are together at most
	// 1.9 s old.
	reportTTL = 1300 * time.Millisecond
	sumTTL    = 600 * time.Millisecond
	// assessInterval is the time between two assessments of a service.
	assessInterval = 50 * time.Millisecond
	// idleAfter is the time after the last choice for a service from which new reports no longer
	// lead to an assessment.
	idleAfter = time.Second
	// quietAfter is the time after the last known failure from which nothing is assessed. It
	// exceeds the window and the age of reports.
	quietAfter = 3 * time.Second
	// minEjection exceeds the window and the usual age of reports, so that failures from
	// before an ejection are not taken for failed trials. It doubles with each failed trial.
	minEjection = 1500 * time.Millisecond
	maxEjection = 5 * time.Second
	// trialSpacing is the mean time between the first trials of two instances. Reports take up
	// to 300 ms, so about three trials fail before the other instances know.
	trialSpacing = 100 * time.Millisecond
	// trialInterval is the time after which a trial without an outcome is followed by another.
	trialInterval = 500 * time.Millisecond
	// reluctance is how much longer a request that may not be repeated waits to be a trial.
	reluctance = time.Second
	// goodAnswers is the number of answers without a failure after which a target returns.
	goodAnswers = 3
	// relapseTime is the time after a return in which another ejection continues the doubling.
	relapseTime = 10 * time.Second
)

// Count is the number of outcomes at a target in the last window.
type Count struct {
	Target   string
	Answered int
	Failed   int
}

func (c Count) total() int { return c.Answered + c.Failed }

func (c Count) add(other Count, factor int) Count {
	return Count{Target: other.Target, Answered: c.Answered + factor*other.Answered, Failed: c.Failed + factor*other.Failed}
}

// Change is the ejection or the return of a target, with the inputs of the decision.
type Change struct {
	Target   string
	Ejected  bool // false for a return
	Own      Count
	Others   Count
	Baseline float64       // failure ratio of the service
	Duration time.Duration // until trials begin
}

// Assessment names the targets of a service that are left out and those that fail more often
// than the others. Nil is an assessment without any. It must not be changed.
type Assessment struct {
	LeftOut map[string]bool
	Excess  map[string]float64 // failure ratio above the baseline of the service
}

// serviceState is the last assessment of a service and what it was asked for.
type serviceState struct {
	askedAt    time.Time
	targets    []target.Target
	instances  int
	assessment *Assessment
	assessedAt time.Time
}

// Detector counts outcomes and decides which targets are ejected. The zero value is ready to
// use. It is not safe for concurrent use.
type Detector struct {
	// Random returns a random number from 0 up to n. If it is nil, math/rand is used.
	Random func(n int) int
	// OnChange is called at each ejection and return. It may be nil.
	OnChange func(now time.Time, c Change)

	own         map[string]*window
	reports     map[string]report // by reporter
	expiry      time.Time         // no report expires before
	totals      map[string]Count  // sums over reports, by target
	sum         map[string]Count  // of all other instances, as a hub reported it
	sumAt       time.Time
	lastFailure time.Time            // last time at which a failure became known
	outlierFrom map[string]time.Time // since when a target has been an outlier
	services    map[string]*serviceState
	ejections   map[string]*ejection // also past ones, within relapseTime
	active      int                  // ejections in effect
}

type report struct {
	at     time.Time
	counts []Count
}

type ejection struct {
	active   bool
	since    time.Time
	until    time.Time // trials begin
	trialAt  time.Time // of this instance, at the earliest
	returned time.Time
	strikes  int // consecutive ejections and failed rounds of trials
	good     int // answered trials of this instance since until
	ratio    float64
}

// Record counts the outcome of a request at the target that was chosen at chosenAt. Outcomes of
// requests that were sent before an ejection say nothing of the target after it.
func (d *Detector) Record(now, chosenAt time.Time, targetName string, failed bool) {
	e := d.ejections[targetName]
	ejected := e != nil && e.active
	if ejected && !chosenAt.After(e.since) {
		return
	}
	w := d.own[targetName]
	if w == nil {
		if d.own == nil {
			d.own = make(map[string]*window)
		}
		w = &window{}
		d.own[targetName] = w
	}
	w.add(now, failed)
	if failed {
		d.lastFailure = now
	}
	switch {
	case !ejected || chosenAt.Before(e.until):
	case failed:
		e.postpone(now)
	default:
		e.good++
		e.trialAt = now
	}
}

// Own returns the outcomes that this instance observed in the last window, sorted by target.
func (d *Detector) Own(now time.Time) []Count {
	var list []Count
	for name, w := range d.own {
		if c := d.ownCount(now, name); c.total() > 0 {
			list = append(list, c)
		} else if slices.Max(w.slot[:]) < slotNumber(now)-10*slots {
			delete(d.own, name)
		}
	}
	slices.SortFunc(list, func(a, b Count) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

func (d *Detector) ownCount(now time.Time, name string) Count {
	c := Count{Target: name}
	if w := d.own[name]; w != nil {
		c.Answered, c.Failed = w.counts(now)
	}
	return c
}

// Report replaces the outcomes that another instance observed.
func (d *Detector) Report(now time.Time, reporter string, counts []Count) {
	for _, c := range d.reports[reporter].counts {
		d.addToTotals(c, -1)
	}
	counts = capped(counts)
	if len(counts) == 0 {
		delete(d.reports, reporter)
		return
	}
	if d.reports == nil {
		d.reports, d.totals = make(map[string]report), make(map[string]Count)
	}
	for _, c := range counts {
		d.addToTotals(c, 1)
		if c.Failed > 0 {
			d.lastFailure = now
		}
	}
	d.reports[reporter] = report{at: now, counts: counts}
	d.reassess(now)
}

// ReportOthers replaces the sums of what all other instances observed, as Without returns
// them. While they are recent, they count in place of reports of single instances.
func (d *Detector) ReportOthers(now time.Time, counts []Count) {
	if d.sum == nil {
		d.sum = make(map[string]Count, len(counts))
	}
	clear(d.sum)
	for _, c := range counts {
		if c.total() == 0 {
			continue
		}
		d.sum[c.Target] = c
		if c.Failed > 0 {
			d.lastFailure = now
		}
	}
	d.sumAt = now
	d.reassess(now)
}

// Without returns the sums of what all reporters but the named one observed, and this instance
// at the targets for which include returns true, by target. Each adds at most reportedFailures
// failures for a target.
func (d *Detector) Without(now time.Time, reporter string, include func(targetName string) bool) map[string]Count {
	d.expireReports(now)
	sums := make(map[string]Count, len(d.totals))
	for name, c := range d.totals {
		sums[name] = c
	}
	for _, c := range d.reports[reporter].counts {
		sums[c.Target] = sums[c.Target].add(c, -1)
	}
	for _, c := range capped(d.Own(now)) {
		if include(c.Target) {
			sums[c.Target] = sums[c.Target].add(c, 1)
		}
	}
	return sums
}

// capped returns the counts of one reporter as far as they count elsewhere: none if nearly all
// its requests fail, and at most reportedFailures at one target, with the same failure ratio or
// a lower one.
func capped(counts []Count) []Count {
	total, failed, used := 0, 0, 0
	for _, c := range counts {
		total, failed = total+c.total(), failed+c.Failed
		if c.total() > 0 {
			used++
		}
	}
	if used >= minUnreachable && float64(failed) >= unreachableRatio*float64(total) {
		return nil
	}
	list := make([]Count, 0, used)
	for _, c := range counts {
		if c.total() == 0 {
			continue
		}
		if c.Failed > reportedFailures {
			c.Answered = (c.Answered*reportedFailures + c.Failed - 1) / c.Failed
			c.Failed = reportedFailures
		}
		list = append(list, c)
	}
	return list
}

func (d *Detector) expireReports(now time.Time) {
	if !now.After(d.expiry) {
		return
	}
	d.expiry = now.Add(reportTTL)
	for name, r := range d.reports {
		if now.Sub(r.at) > reportTTL {
			for _, c := range r.counts {
				d.addToTotals(c, -1)
			}
			delete(d.reports, name)
		} else if expiry := r.at.Add(reportTTL); expiry.Before(d.expiry) {
			d.expiry = expiry
		}
	}
}

func (d *Detector) addToTotals(c Count, factor int) {
	if sum := d.totals[c.Target].add(c, factor); sum.total() > 0 {
		d.totals[c.Target] = sum
	} else {
		delete(d.totals, c.Target)
	}
}

// othersCounts returns what the other instances observed, by target.
func (d *Detector) othersCounts(now time.Time) map[string]Count {
	if now.Sub(d.sumAt) <= sumTTL {
		return d.sum
	}
	d.expireReports(now)
	return d.totals
}

// Ejected returns the number of ejected targets.
func (d *Detector) Ejected() int { return d.active }

// Forget drops what is known of a target, because it is gone or runs anew.
func (d *Detector) Forget(targetName string) {
	if e := d.ejections[targetName]; e != nil && e.active {
		d.active--
	}
	delete(d.ejections, targetName)
	delete(d.outlierFrom, targetName)
	delete(d.own, targetName)
}

// Assess returns which of a service's usable targets are left out, in a region of the given
// number of instances. The targets must not be changed afterwards.
func (d *Detector) Assess(now time.Time, service string, targets []target.Target, instances int) *Assessment {
	s := d.services[service]
	if s == nil {
		if d.services == nil {
			d.services = make(map[string]*serviceState)
		}
		s = &serviceState{}
		d.services[service] = s
	}
	if len(s.targets) != len(targets) {
		s.assessedAt = time.Time{}
	}
	s.askedAt, s.targets, s.instances = now, targets, instances
	d.assess(now, s)
	return s.assessment
}

// reassess assesses the services by new reports. An instance with few requests would otherwise
// miss failures that others report for a short time, as they eject the target.
func (d *Detector) reassess(now time.Time) {
	for _, s := range d.services {
		if now.Sub(s.askedAt) <= idleAfter {
			d.assess(now, s)
		}
	}
}

// assess renews the assessment of a service if it is older than assessInterval.
func (d *Detector) assess(now time.Time, s *serviceState) {
	if d.active == 0 && now.Sub(d.lastFailure) > quietAfter {
		s.assessment, s.assessedAt = nil, time.Time{}
	} else if s.assessedAt.IsZero() || now.Sub(s.assessedAt) >= assessInterval {
		s.assessment, s.assessedAt = d.newAssessment(now, s.targets, s.instances), now
	}
}

// observation is what is known of one target at an assessment.
type observation struct {
	own, others Count
	ratio       float64
	ejection    *ejection // nil if it is not in effect
}

func (o observation) total() Count { return o.own.add(o.others, 1) }

func (d *Detector) newAssessment(now time.Time, targets []target.Target, instances int) *Assessment {
	others := d.othersCounts(now)
	list := make([]observation, 0, len(targets))
	for i := range targets {
		name := targets[i].Name()
		o := observation{own: d.ownCount(now, name), others: others[name]}
		if e := d.ejections[name]; e != nil && e.active {
			d.updateEjection(now, e, o, instances)
			if e.active {
				o.ejection, o.ratio = e, e.ratio
			}
		}
		if c := o.total(); o.ejection == nil && c.total() > 0 {
			o.ratio = float64(c.Failed) / float64(c.total())
		}
		list = append(list, o)
	}
	base := baseline(list)
	room := len(targets) / maxLeftOutFraction
	d.eject(now, list, base, room, instances)
	a := &Assessment{LeftOut: leftOut(list, room), Excess: make(map[string]float64)}
	for _, o := range list {
		c := o.total()
		if excess := float64(c.Failed)/float64(c.total()+2) - base; c.Failed > 0 && excess > 0 {
			a.Excess[o.own.Target] = excess
		}
	}
	return a
}

// baseline returns the failure ratio of the service: the median over its targets, or that of the
// better half taken together, which is more exact where each target has few requests.
func baseline(list []observation) float64 {
	ratios := make([]float64, 0, len(list))
	for _, o := range list {
		if o.ejection != nil || o.total().total() > 0 {
			ratios = append(ratios, o.ratio)
		}
	}
	if len(ratios) == 0 {
		return 1
	}
	slices.Sort(ratios)
	median := ratios[(len(ratios)-1)/2]
	var better Count
	for _, o := range list {
		if o.ejection == nil && o.ratio <= median {
			better = better.add(o.total(), 1)
		}
	}
	return max(median, float64(better.Failed+1)/float64(better.total()+4))
}

// eject ejects the targets that fail far more often than the baseline, the worst first, while
// there is room.
func (d *Detector) eject(now time.Time, list []observation, base float64, room, instances int) {
	var failing []*observation
	for i := range list {
		switch o := &list[i]; {
		case o.ejection != nil:
			room--
		case !isOutlier(*o, base):
			delete(d.outlierFrom, o.own.Target)
		case d.isConfirmed(now, o.own.Target):
			failing = append(failing, o)
		}
	}
	slices.SortFunc(failing, func(a, b *observation) int {
		return cmp.Or(cmp.Compare(b.ratio, a.ratio), cmp.Compare(b.total().Failed, a.total().Failed), cmp.Compare(a.own.Target, b.own.Target))
	})
	for _, o := range failing[:max(min(room, len(failing)), 0)] {
		name := o.own.Target
		e := d.ejections[name]
		if e == nil {
			if d.ejections == nil {
				d.ejections = make(map[string]*ejection)
			}
			e = &ejection{}
			d.ejections[name] = e
		} else if now.Sub(e.returned) > relapseTime {
			e.strikes = 0
		}
		delete(d.outlierFrom, name)
		e.active, e.since, e.ratio = true, now, o.ratio
		d.active++
		o.ejection = e
		e.schedule(now)
		d.drawTrial(e, instances)
		d.notify(now, Change{Target: name, Ejected: true, Own: o.own, Others: o.others, Baseline: base, Duration: e.until.Sub(now)})
	}
}

// isConfirmed reports whether the target has been an outlier for confirmTime, at the assessments
// of this instance.
func (d *Detector) isConfirmed(now time.Time, targetName string) bool {
	from, ok := d.outlierFrom[targetName]
	if !ok {
		if d.outlierFrom == nil {
			d.outlierFrom = make(map[string]time.Time)
		}
		from = now
		d.outlierFrom[targetName] = from
	}
	return now.Sub(from) >= confirmTime
}

// isOutlier reports whether the target is to be ejected. What this instance saw answered
// outweighs what others report: they may be cut off where it is not.
func isOutlier(o observation, base float64) bool {
	c := o.total()
	if c.Failed < minFailures || o.own.Answered > 1 && o.own.Answered > o.own.Failed {
		return false
	}
	p := min(max(base, minBaseline), 1-minBaseline)
	deviation := math.Sqrt(p * (1 - p) / float64(c.total()))
	return o.ratio-base >= max(minExcess, deviations*deviation)
}

// leftOut returns the ejected targets, of too many those ejected first.
func leftOut(list []observation, room int) map[string]bool {
	ejected := slices.DeleteFunc(slices.Clone(list), func(o observation) bool { return o.ejection == nil })
	slices.SortFunc(ejected, func(a, b observation) int {
		return cmp.Or(a.ejection.since.Compare(b.ejection.since), cmp.Compare(a.own.Target, b.own.Target))
	})
	names := make(map[string]bool, len(ejected))
	for _, o := range ejected[:min(room, len(ejected))] {
		names[o.own.Target] = true
	}
	return names
}

// updateEjection ends the ejection if trials are answered well, and continues it if trials of
// other instances fail.
func (d *Detector) updateEjection(now time.Time, e *ejection, o observation, instances int) {
	if now.Before(e.until) {
		return
	}
	switch {
	case o.others.Failed > 0:
		e.postpone(now)
	case o.own.Failed == 0 && e.good+o.others.Answered >= goodAnswers:
		e.active, e.returned = false, now
		d.active--
		d.notify(now, Change{Target: o.own.Target, Own: o.own, Others: o.others, Duration: now.Sub(e.since)})
		return
	}
	if e.trialAt.IsZero() {
		d.drawTrial(e, instances)
	}
}

func (d *Detector) notify(now time.Time, c Change) {
	if d.OnChange != nil {
		d.OnChange(now, c)
	}
}

// postpone continues the ejection after a failed trial.
func (e *ejection) postpone(now time.Time) {
	if now.Before(e.until) {
		return // trials sent together fail together and count once
	}
	e.schedule(now)
}

// schedule sets the time until which the target gets no trials. The next assessment draws the
// time of this instance's own trial.
func (e *ejection) schedule(now time.Time) {
	e.until = now.Add(min(minEjection<<min(e.strikes, 8), maxEjection))
	e.strikes++
	e.good, e.trialAt = 0, time.Time{}
}

// drawTrial draws the time of this instance's trial, so that the first trials of all instances
// are trialSpacing apart on average.
func (d *Detector) drawTrial(e *ejection, instances int) {
	random := d.Random
	if random == nil {
		random = rand.IntN
	}
	e.trialAt = e.until.Add(time.Duration(random(int(trialSpacing.Milliseconds())*max(instances, 1))) * time.Millisecond)
}

// IsTrialDue reports whether a request may be sent to the ejected target as a trial.
func (d *Detector) IsTrialDue(now time.Time, targetName string, repeatable bool) bool {
	e := d.ejections[targetName]
	if e == nil || !e.active || e.trialAt.IsZero() || now.Before(e.until) {
		return false
	}
	if !repeatable && e.good == 0 {
		now = now.Add(-reluctance)
	}
	return !now.Before(e.trialAt)
}

// StartTrial records that a trial is sent to the target.
func (d *Detector) StartTrial(now time.Time, targetName string) {
	if e := d.ejections[targetName]; e != nil {
		e.trialAt = now.Add(trialInterval)
	}
}
