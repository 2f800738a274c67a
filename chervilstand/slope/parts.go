package slope

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/balancer"
	"chervilyard.example/yard/claim"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/envelope"
	"chervilyard.example/yard/key"
	"chervilyard.example/yard/lender"
	"chervilyard.example/yard/memberlist"
	"chervilyard.example/yard/peer"
	"chervilyard.example/yard/seat"
	"chervilyard.example/yard/target"
)

// measurements holds the fits from which the tables are made. The fields are
// costs in microseconds of CPU time or in bytes.
type measurements struct {
	fits                                                             []Fit
	lenderRound, seatUpdate, documentParse, lenderHeap, documentHeap Fit
	heartbeatSize, gossipSize, gossipExchange, memberListHeap        Fit
	storedDocumentBytes                                              float64 // size of the document as the store sends it, in base64
	targetPick, pickerHeap, seatPlan, entrySize, claimUpdate         Fit
}

// now is the fixed time at which all measured states are built.
var now = time.Unix(1_700_000_000, 0)

// measureAll measures all costs.
func (m *measurements) measureAll() error {
	// Some measurements ignore parse errors, so check a generated document first.
	if _, err := parseDocument(10, 3, 10); err != nil {
		return err
	}
	data, err := envelope.Envelope{Revision: 1, Text: documentText(Customers, Centres, Engines)}.Encode()
	if err != nil {
		return err
	}
	m.storedDocumentBytes = float64(len(data)) * 4 / 3 // base64 encoding
	customers := []int{60, 120, 230, 460}
	members := []int{90, 180, 360, 720}
	targets := []int{10, 20, 40, 80}
	m.lenderRound = m.addFit(measureFit("lender's round (twice a second)", "us", "customer", customers, lenderRoundMicros))
	m.seatUpdate = m.addFit(measureFit("seats' parts put into the buckets (a promise or renewal)", "us", "customer", customers, seatUpdateMicros))
	m.lenderHeap = m.addFit(measureFit("buckets and loans in memory", "B", "customer", customers, func(n int) float64 {
		return heapBytes(func() any { return newLender(n) })
	}))
	m.documentParse = m.addFit(measureFit("a change of configuration parsed", "us", "customer", customers, func(n int) float64 {
		text := documentText(n, Centres, Engines)
		return microsPerCall(func() { _, _ = document.Parse("x", text) })
	}))
	m.documentHeap = m.addFit(measureFit("the document in memory", "B", "customer", customers, func(n int) float64 {
		return heapBytes(func() any {
			d, _ := parseDocument(n, Centres, Engines)
			return d
		})
	}))
	m.heartbeatSize = m.addFit(measureFit("a heartbeat's size", "B", "target reported", targets, heartbeatBytes))
	m.gossipSize = m.addFit(measureFit("a roll's size", "B", "instance", members, func(n int) float64 { return float64(proto.Size(gossipMessage(n))) }))
	m.gossipExchange = m.addFit(measureFit("a roll read, heard and answered", "us", "instance", members, gossipExchangeMicros))
	m.memberListHeap = m.addFit(measureFit("members in memory", "B", "instance", members, func(n int) float64 {
		return heapBytes(func() any { return newMemberList(n) })
	}))
	m.targetPick = m.addFit(measureFit("a target chosen", "us", "target", targets, targetPickMicros))
	m.pickerHeap = m.addFit(measureFit("targets' states in memory", "B", "target", targets, func(n int) float64 {
		return heapBytes(func() any {
			p, list := newPicker(n)
			return []any{p, list}
		})
	}))
	m.seatPlan = m.addFit(measureFit("a seat renewal decoded, planned and encoded", "us", "seat", []int{2, 5, 10, 20}, seatPlanMicros))
	m.entrySize = m.addFit(measureFit("a data centre's entry in the store", "B", "seat", []int{2, 5, 10, 20}, func(n int) float64 {
		data, _ := newEntry(n).Encode()
		return float64(len(data))
	}))
	m.claimUpdate = m.addFit(measureFit("a claim bucket changed", "us", "record", []int{50, 100, 200, 400}, claimUpdateMicros))
	return nil
}

// addFit appends a fit to the table and returns it.
func (m *measurements) addFit(f Fit) Fit {
	m.fits = append(m.fits, f)
	return f
}

// documentText returns a document with the given numbers of customers, data
// centres and engines.
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
		fmt.Fprintf(&b, "[customer k%d]\nrate = 10000\nburst = 80000\n[key k%d]\ncustomer = k%d\nhash = %s\n", c, c, c, key.HashSecret(fmt.Sprint(c)))
	}
	for m := range 4 {
		fmt.Fprintf(&b, "[route m%d]\nkind = model\n", m)
	}
	for e := range engines {
		fmt.Fprintf(&b, "[target e%d]\ncentre = c%d\naddress = 10.0.%d.%d:80\nserves = m%d\n", e, e%centres, e/250, e%250, e%4)
	}
	return b.String()
}

func parseDocument(customers, centres, engines int) (*document.Document, error) {
	return document.Parse("x", documentText(customers, centres, engines))
}

// newLender returns the lender of an instance in a fleet with all planned data
// centres and the given number of customers. The instance holds a seat and has
// admitted a request of each customer.
func newLender(customers int) *lender.Lender {
	d, err := parseDocument(customers, Centres, 4)
	if err != nil {
		panic(err)
	}
	l := &lender.Lender{
		Address: "a", Centre: "c0", NewID: rand.Uint64,
		Holders: func(string) []lender.Holder { return []lender.Holder{{Address: "b"}} },
	}
	l.Apply(now, d)
	l.SetHoldings(now, seatHoldings(now))
	for _, c := range d.Customers() {
		l.Admit(now, c.Name(), 100)
	}
	return l
}

// seatHoldings returns the rights to both parts of seat 0, the kept and the
// floating one.
func seatHoldings(at time.Time) []seat.Holding {
	return []seat.Holding{
		{Seat: 0, Class: seat.ClassKept, Fence: 1, ExpiresAt: at.Add(time.Hour), Fresh: true, DefaultFull: true},
		{Seat: 0, Class: seat.ClassFloating, Fence: 1, ExpiresAt: at.Add(time.Hour), Fresh: true, DefaultFull: true},
	}
}

// lenderRoundMicros returns the CPU time of a background round of a lender.
func lenderRoundMicros(customers int) float64 {
	l := newLender(customers)
	at := now
	return microsPerCall(func() {
		at = at.Add(500 * time.Microsecond)
		l.Round(at)
	})
}

// seatUpdateMicros returns the CPU time of applying a renewal of a seat to a lender.
func seatUpdateMicros(customers int) float64 {
	l := newLender(customers)
	at := now
	return microsPerCall(func() {
		at = at.Add(time.Millisecond)
		l.SetHoldings(at, seatHoldings(at))
	})
}

// newMember returns the membership record of the n-th instance.
func newMember(n int) *peer.Member {
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

// gossipMessage returns a gossip message about n members.
func gossipMessage(n int) *peer.Roll {
	msg := &peer.Roll{Confirmed: 100}
	for i := range n {
		msg.Members = append(msg.Members, newMember(i))
	}
	return msg
}

// heartbeatBytes returns the size of a heartbeat that carries load reports of the
// given number of targets.
func heartbeatBytes(targets int) float64 {
	p := &peer.Pulse{Self: newMember(1), Confirmed: 100}
	for t := range targets {
		p.Reports = append(p.Reports, &peer.Report{Target: fmt.Sprintf("engine-%d", t), Age: 300, Running: 20, Queued: 2, Wait: 0.1})
	}
	return float64(proto.Size(p))
}

// newMemberList returns a member list that knows n members.
func newMemberList(n int) *memberlist.List {
	l := &memberlist.List{Self: "self", Centre: "c0", LocalTimeout: 4 * time.Second, RemoteTimeout: 30 * time.Second, EvictAfter: time.Hour}
	for i := range n {
		l.Update(now, newMember(i))
	}
	return l
}

// gossipExchangeMicros returns the CPU time that a gossip exchange about n members
// takes on one side: decoding a message, merging it and encoding the response.
func gossipExchangeMicros(n int) float64 {
	l := newMemberList(n)
	data, err := proto.Marshal(gossipMessage(n))
	if err != nil {
		panic(err)
	}
	return microsPerCall(func() {
		var received peer.Roll
		if err := proto.Unmarshal(data, &received); err != nil {
			panic(err)
		}
		for _, m := range received.GetMembers() {
			m.Beat++
			l.Update(now, m)
		}
		if _, err := proto.Marshal(&peer.Roll{Members: l.GossipMembers(now)}); err != nil {
			panic(err)
		}
	})
}

// newPicker returns a picker that knows the load and the cached prompts of n
// targets, and the targets.
func newPicker(n int) (*balancer.Picker, []target.Target) {
	p := &balancer.Picker{Random: rand.IntN}
	var list []target.Target
	for i := range n {
		t := target.New(fmt.Sprintf("engine-%d", i), "c0", "10.0.0.1:80", []string{"m"}, 32, 1, false)
		list = append(list, t)
		p.UpdateLoad(t.Name(), balancer.Report{At: now, Running: i % 32})
		p.Start(t.Name(), balancer.Request{PrefixHashes: balancer.PrefixHashes("k", make([]byte, 4096))})
	}
	return p, list
}

// targetPickMicros returns the CPU time of choosing one of n targets.
func targetPickMicros(n int) float64 {
	p, list := newPicker(n)
	req := balancer.Request{PrefixHashes: balancer.PrefixHashes("k", make([]byte, 4096)), BlockTokens: 64}
	return microsPerCall(func() { p.Pick(now, list, req) })
}

// newEntry returns the store entry of a data centre whose seats are all held by
// one instance.
func newEntry(seats int) seat.Entry {
	t := seat.Table{Address: "10.1.2.3:7000", Run: now.UnixNano(), Centre: "c0"}
	d, err := parseDocument(10, Centres, 4)
	if err != nil {
		panic(err)
	}
	e, _ := t.Plan(now, seat.Entry{Centre: "c0"}, seats, d.Quota(), seat.Liveness{})
	for i := range e.Parts {
		p := &e.Parts[i]
		p.Holder, p.Run, p.Fence, p.Renewals, p.Epoch = "10.1.2.3:7000", now.UnixNano(), 1, 10000, 5
		p.FloatingLease, p.KeptLease = d.Quota().FloatingLease, d.Quota().KeptLease
	}
	for len(e.Members) < seats {
		e.Members = append(e.Members, seat.Member{Address: "10.1.2.3:7000", Run: now.UnixNano(), Epoch: 3})
	}
	return e
}

// seatPlanMicros returns the CPU time of decoding, planning and encoding the
// entry of a data centre.
func seatPlanMicros(seats int) float64 {
	d, err := parseDocument(10, Centres, 4)
	if err != nil {
		panic(err)
	}
	data, _ := newEntry(seats).Encode()
	t := seat.Table{Address: "10.1.9.9:7000", Run: 1, Centre: "c0"}
	return microsPerCall(func() {
		e, err := seat.Decode("c0", data)
		if err != nil {
			panic(err)
		}
		next, _ := t.Plan(now, e, seats, d.Quota(), seat.Liveness{})
		if _, err := next.Encode(); err != nil {
			panic(err)
		}
	})
}

// claimUpdateMicros returns the CPU time of adding a claim to a bucket of records.
func claimUpdateMicros(records int) float64 {
	var b claim.Bucket
	for i := range records {
		id, _ := claim.ID("c", "r", fmt.Sprint(i))
		b.Records = append(b.Records, claim.Record{ID: id, Attempt: fmt.Sprint(i), State: claim.Done, Time: now, Outcome: claim.Outcome{Status: 201, Body: make([]byte, 200)}})
	}
	id, _ := claim.ID("c", "r", "new")
	return microsPerCall(func() {
		b.Apply(now, time.Hour, []*claim.Op{{Record: claim.Record{ID: id, Attempt: "x", State: claim.Open, Time: now}}})
	})
}
