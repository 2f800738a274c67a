package slope

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/choice"
	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/envelope"
	"chervilyard.example/yard/key"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/roster"
	"chervilyard.example/yard/seat"
	"chervilyard.example/yard/target"
)

// measured holds the fits that the tables are made of.
type measured struct {
	fits                                               []Fit
	round, hold, parse, lenderHeap, documentHeap       Fit
	pulse, roll, hear, rosterHeap                      Fit
	stored                                             float64 // bytes of the document as the store sends it
	pick, pickerHeap, seatPlan, seatBytes, claimBucket Fit
}

var now = time.Unix(1_700_000_000, 0)

func (m *measured) all() error {
	if _, err := parseText(10, 3, 10); err != nil {
		return err
	}
	data, err := envelope.Envelope{Revision: 1, Text: documentText(Customers, Centres, Engines)}.Encode()
	if err != nil {
		return err
	}
	m.stored = float64(len(data)) * 4 / 3 // in base 64
	customers := []int{60, 120, 230, 460}
	members := []int{90, 180, 360, 720}
	targets := []int{10, 20, 40, 80}
	m.round = m.add(fit("lender's round (twice a second)", "us", "customer", customers, roundCost))
	m.hold = m.add(fit("seats' parts put into the buckets (a promise or renewal)", "us", "customer", customers, holdCost))
	m.lenderHeap = m.add(fit("buckets and loans in memory", "B", "customer", customers, func(n int) float64 {
		return heap(func() any { return newLender(n) })
	}))
	m.parse = m.add(fit("a change of configuration parsed", "us", "customer", customers, func(n int) float64 {
		text := documentText(n, Centres, Engines)
		return cpu(func() { _, _ = document.Parse("x", text) })
	}))
	m.documentHeap = m.add(fit("the document in memory", "B", "customer", customers, func(n int) float64 {
		return heap(func() any {
			d, _ := parseText(n, Centres, Engines)
			return d
		})
	}))
	m.pulse = m.add(fit("a heartbeat's size", "B", "target reported", targets, pulseBytes))
	m.roll = m.add(fit("a roll's size", "B", "instance", members, func(n int) float64 { return float64(proto.Size(roll(n))) }))
	m.hear = m.add(fit("a roll read, heard and answered", "us", "instance", members, hearCost))
	m.rosterHeap = m.add(fit("members in memory", "B", "instance", members, func(n int) float64 {
		return heap(func() any { return heardRoster(n) })
	}))
	m.pick = m.add(fit("a target chosen", "us", "target", targets, pickCost))
	m.pickerHeap = m.add(fit("targets' states in memory", "B", "target", targets, func(n int) float64 {
		return heap(func() any {
			p, list := picker(n)
			return []any{p, list}
		})
	}))
	m.seatPlan = m.add(fit("a seat renewal decoded, planned and encoded", "us", "seat", []int{2, 5, 10, 20}, seatCost))
	m.seatBytes = m.add(fit("a data centre's entry in the store", "B", "seat", []int{2, 5, 10, 20}, func(n int) float64 {
		data, _ := entry(n).Encode()
		return float64(len(data))
	}))
	m.claimBucket = m.add(fit("a claim bucket changed", "us", "record", []int{50, 100, 200, 400}, claimCost))
	return nil
}

func (m *measured) add(f Fit) Fit {
	m.fits = append(m.fits, f)
	return f
}

func documentText(customers, centres, engines int) string {
	var b strings.Builder
	b.WriteString("[environment]\nname = x\n")
	for r := range Regions {
		fmt.Fprintf(&b, "[region r%d]\n", r)
	}
	for c := range centres {
		fmt.Fprintf(&b, "[centre c%d]\nregion = r%d\nseats = 5\n", c, c%Regions)
	}
	for c := range customers {
		fmt.Fprintf(&b, "[customer k%d]\nrate = 10000\nburst = 80000\n[key k%d]\ncustomer = k%d\nhash = %s\n", c, c, c, key.Hash(fmt.Sprint(c)))
	}
	for m := range 4 {
		fmt.Fprintf(&b, "[route m%d]\nkind = model\n", m)
	}
	for e := range engines {
		fmt.Fprintf(&b, "[target e%d]\ncentre = c%d\naddress = 10.0.%d.%d:80\nserves = m%d\n", e, e%centres, e/250, e%250, e%4)
	}
	return b.String()
}

func parseText(customers, centres, engines int) (*document.Document, error) {
	return document.Parse("x", documentText(customers, centres, engines))
}

// newLender returns a lender of a fleet of the planned size that holds a seat
// and has seen demand of each customer.
func newLender(customers int) *lender.Lender {
	d, err := parseText(customers, Centres, 4)
	if err != nil {
		panic(err)
	}
	l := &lender.Lender{
		Address: "a", Centre: "c0", Random: rand.Uint64,
		Holders: func(string) []lender.Holder { return []lender.Holder{{Address: "b"}} },
	}
	l.Apply(now, d)
	l.Hold(now, titles(now))
	for _, c := range d.Customers() {
		l.Admit(now, c.Name(), 100)
	}
	return l
}

func titles(at time.Time) []seat.Title {
	return []seat.Title{
		{Seat: 0, Class: seat.Kept, Fence: 1, Until: at.Add(time.Hour), Fresh: true, Full: true},
		{Seat: 0, Class: seat.Floating, Fence: 1, Until: at.Add(time.Hour), Fresh: true, Full: true},
	}
}

func roundCost(customers int) float64 {
	l := newLender(customers)
	at := now
	return cpu(func() {
		at = at.Add(500 * time.Microsecond)
		l.Round(at)
	})
}

func holdCost(customers int) float64 {
	l := newLender(customers)
	at := now
	return cpu(func() {
		at = at.Add(time.Millisecond)
		l.Hold(at, titles(at))
	})
}

func member(n int) *peer.Member {
	m := &peer.Member{
		Address: fmt.Sprintf("10.1.%d.%d:7000", n/250, n%250), Callers: fmt.Sprintf("10.1.%d.%d:80", n/250, n%250),
		Operators: fmt.Sprintf("10.1.%d.%d:7001", n/250, n%250), Centre: fmt.Sprintf("c%d", n%Centres),
		Run: now.UnixNano(), Beat: 100000, Revision: 8000, Seats: []int32{int32(n % 5)},
	}
	for r := range 4 {
		m.Rooms = append(m.Rooms, &peer.Room{Route: fmt.Sprintf("m%d", r), Slots: 320, Busy: 100})
	}
	return m
}

func roll(n int) *peer.Roll {
	r := &peer.Roll{Confirmed: 100}
	for i := range n {
		r.Members = append(r.Members, member(i))
	}
	return r
}

func pulseBytes(targets int) float64 {
	p := &peer.Pulse{Self: member(1), Confirmed: 100}
	for t := range targets {
		p.Reports = append(p.Reports, &peer.Report{Target: fmt.Sprintf("engine-%d", t), Age: 300, Running: 20, Queued: 2, Wait: 0.1})
	}
	return float64(proto.Size(p))
}

func heardRoster(n int) *roster.Roster {
	r := &roster.Roster{Self: "self", Centre: "c0", Silent: 4 * time.Second, Far: 30 * time.Second, Forget: time.Hour}
	for i := range n {
		r.Hear(now, member(i))
	}
	return r
}

// hearCost is what an exchange of rolls costs one side.
func hearCost(n int) float64 {
	r := heardRoster(n)
	data, err := proto.Marshal(roll(n))
	if err != nil {
		panic(err)
	}
	return cpu(func() {
		var in peer.Roll
		if err := proto.Unmarshal(data, &in); err != nil {
			panic(err)
		}
		for _, m := range in.GetMembers() {
			m.Beat++
			r.Hear(now, m)
		}
		if _, err := proto.Marshal(&peer.Roll{Members: r.Roll(now)}); err != nil {
			panic(err)
		}
	})
}

func picker(n int) (*choice.Picker, []target.Target) {
	p := &choice.Picker{Random: rand.IntN}
	var list []target.Target
	for i := range n {
		t := target.New(fmt.Sprintf("engine-%d", i), "c0", "10.0.0.1:80", []string{"m"}, 32, 1, false)
		list = append(list, t)
		p.Learn(t.Name(), choice.Report{At: now, Running: i % 32})
		p.Start(t.Name(), choice.Request{Prefix: choice.Prefix("k", make([]byte, 4096))})
	}
	return p, list
}

func pickCost(n int) float64 {
	p, list := picker(n)
	req := choice.Request{Prefix: choice.Prefix("k", make([]byte, 4096)), Block: 64}
	return cpu(func() { p.Pick(now, list, req) })
}

func entry(seats int) seat.Entry {
	t := seat.Table{Address: "10.1.2.3:7000", Run: now.UnixNano(), Centre: "c0"}
	d, err := parseText(10, Centres, 4)
	if err != nil {
		panic(err)
	}
	e, _ := t.Plan(now, seat.Entry{Centre: "c0"}, seats, d.Terms(), seat.Mates{})
	for i := range e.Parts {
		p := &e.Parts[i]
		p.Holder, p.Run, p.Fence, p.Beat, p.Epoch = "10.1.2.3:7000", now.UnixNano(), 1, 10000, 5
		p.Lease, p.Hold = d.Terms().Lease, d.Terms().Hold
	}
	for len(e.Members) < seats {
		e.Members = append(e.Members, seat.Member{Address: "10.1.2.3:7000", Run: now.UnixNano(), Epoch: 3})
	}
	return e
}

func seatCost(seats int) float64 {
	d, err := parseText(10, Centres, 4)
	if err != nil {
		panic(err)
	}
	data, _ := entry(seats).Encode()
	t := seat.Table{Address: "10.1.9.9:7000", Run: 1, Centre: "c0"}
	return cpu(func() {
		e, err := seat.Decode("c0", data)
		if err != nil {
			panic(err)
		}
		next, _ := t.Plan(now, e, seats, d.Terms(), seat.Mates{})
		if _, err := next.Encode(); err != nil {
			panic(err)
		}
	})
}

func claimCost(records int) float64 {
	var b claim.Bucket
	for i := range records {
		id, _ := claim.ID("c", "r", fmt.Sprint(i))
		b.Records = append(b.Records, claim.Record{ID: id, Attempt: fmt.Sprint(i), State: claim.Done, Time: now, Outcome: claim.Outcome{Status: 201, Body: make([]byte, 200)}})
	}
	id, _ := claim.ID("c", "r", "new")
	return cpu(func() {
		b.Apply(now, time.Hour, []*claim.Op{{Record: claim.Record{ID: id, Attempt: "x", State: claim.Open, Time: now}}})
	})
}
