package simulation

import (
	"time"

	"chervilyard.example/yard/document"
)

// befall brings a fault about.
func (d *Simulation) befall(f Fault) {
	switch f.Kind {
	case Crash:
		d.crash(d.nodes[f.Instance%len(d.nodes)], f)
	case Cut:
		d.setCut(f.Region, true)
		d.after(f.For, func() { d.setCut(f.Region, false) })
	case Store:
		d.down = true
		d.after(f.For, func() { d.down = false })
	case Lose:
		d.lose = true
		d.after(f.For, func() { d.lose = false })
	case Alone:
		n := d.nodes[f.Instance%len(d.nodes)]
		n.alone = true
		d.after(f.For, func() { n.alone = false })
	case Pause:
		d.pause(d.nodes[f.Instance%len(d.nodes)], f.For)
	case Rate:
		d.change(f.Factor)
	}
}

func (d *Simulation) crash(n *node, f Fault) {
	if !n.alive {
		return
	}
	n.alive = false
	n.died = d.now
	n.titles = nil
	if f.For <= 0 {
		return
	}
	d.after(f.For, func() {
		if f.Moved {
			d.addNode(n.region, n.centre)
			return
		}
		d.boot(n)
	})
}

func (d *Simulation) setCut(region int, yes bool) {
	d.cut[region] = yes
	d.moved = d.now
	d.judge.divide()
}

func (d *Simulation) pause(n *node, length time.Duration) {
	n.paused = d.now.Add(length)
	n.stopped = d.now
	run := n.run
	d.after(length, func() {
		if n.run != run || d.now.Before(n.paused) {
			return
		}
		late := n.waiting
		n.waiting = nil
		for _, do := range late {
			if n.alive && n.run == run {
				do()
			}
		}
	})
}

// change puts a document with other rates in force, at each instance at
// another moment; instances that are cut off hear of it when they can.
func (d *Simulation) change(factor float64) {
	doc, err := document.Parse(d.script.Name, d.script.document(factor))
	if err != nil {
		return
	}
	d.doc = doc
	for _, n := range d.nodes {
		d.tell(n, doc)
	}
}

func (d *Simulation) tell(n *node, doc *document.Document) {
	d.on(n, time.Duration(d.rng.Float64()*float64(3*time.Second)), func() {
		if d.cut[n.region] {
			d.tell(n, doc)
			return
		}
		n.doc = doc
		n.lender.Apply(d.clock(n), doc)
		d.judge.rates()
	})
}
