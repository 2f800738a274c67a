package simulation

import (
	"time"

	"chervilyard.example/yard/document"
)

// injectFault starts a fault and schedules its end.
func (sim *Simulation) injectFault(f Fault) {
	switch f.Kind {
	case Crash:
		sim.crashInstance(sim.instances[f.Instance%len(sim.instances)], f)
	case IsolateRegion:
		sim.setIsolated(f.Region, true)
		sim.scheduleAfter(f.Duration, func() { sim.setIsolated(f.Region, false) })
	case StoreOutage:
		sim.storeDown = true
		sim.scheduleAfter(f.Duration, func() { sim.storeDown = false })
	case LoseStoreReplies:
		sim.dropStoreReplies = true
		sim.scheduleAfter(f.Duration, func() { sim.dropStoreReplies = false })
	case IsolateFromStore:
		inst := sim.instances[f.Instance%len(sim.instances)]
		inst.storeBlocked = true
		sim.scheduleAfter(f.Duration, func() { inst.storeBlocked = false })
	case Pause:
		sim.pauseInstance(sim.instances[f.Instance%len(sim.instances)], f.Duration)
	case ChangeRates:
		sim.changeRates(f.Factor)
	}
}

// crashInstance stops an instance. After f.Duration, if that is positive, the
// instance restarts, or a new one starts at another address if f.NewAddress is
// set.
func (sim *Simulation) crashInstance(inst *instance, f Fault) {
	if !inst.alive {
		return
	}
	inst.alive = false
	inst.crashedAt = sim.now
	inst.holdings = nil
	if f.Duration <= 0 {
		return
	}
	sim.scheduleAfter(f.Duration, func() {
		if f.NewAddress {
			sim.addInstance(inst.region, inst.centre)
			return
		}
		sim.startInstance(inst)
	})
}

// setIsolated disconnects a region from all others, or reconnects it.
func (sim *Simulation) setIsolated(region int, isolate bool) {
	sim.isolated[region] = isolate
	sim.isolationChanged = sim.now
	sim.evaluator.updateIsolation()
}

// pauseInstance defers the instance's calls for the given time and then runs
// them in order.
func (sim *Simulation) pauseInstance(inst *instance, duration time.Duration) {
	inst.pausedUntil = sim.now.Add(duration)
	inst.pausedAt = sim.now
	incarnation := inst.incarnation
	sim.scheduleAfter(duration, func() {
		if inst.incarnation != incarnation || sim.now.Before(inst.pausedUntil) {
			return
		}
		pending := inst.deferred
		inst.deferred = nil
		for _, fn := range pending {
			if inst.alive && inst.incarnation == incarnation {
				fn()
			}
		}
	})
}

// changeRates publishes a document with the script's rates and bursts multiplied
// by factor. Each instance applies it at its own time, and instances of an
// isolated region only after the region is connected again. A document that is
// not valid is not published.
func (sim *Simulation) changeRates(factor float64) {
	doc, err := document.Parse(sim.script.Name, sim.script.document(factor))
	if err != nil {
		return
	}
	sim.doc = doc
	for _, inst := range sim.instances {
		sim.deliverDocument(inst, doc)
	}
}

// deliverDocument applies the document at the instance within 3 s, and tries
// again as long as the region is isolated.
func (sim *Simulation) deliverDocument(inst *instance, doc *document.Document) {
	sim.scheduleOn(inst, time.Duration(sim.rng.Float64()*float64(3*time.Second)), func() {
		if sim.isolated[inst.region] {
			sim.deliverDocument(inst, doc)
			return
		}
		inst.doc = doc
		inst.lender.Apply(sim.localTime(inst), doc)
		sim.evaluator.updateRates()
	})
}
