package edge

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/yard/fleet"
	"chervilyard.example/yard/membership"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/ratelimit"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/target"
	"chervilyard.example/yard/view"
)

// BenchmarkHeartbeatPayload measures an instance's own part of an exchange: to write the
// content of a heartbeat and the tokens that it requests, and to process one of the same
// size. The instance has requests open at 33 targets, 26 peers with as many, and 230
// customers, a tenth of them active.
func BenchmarkHeartbeatPayload(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	e := &Edge{started: now.Add(-time.Minute)}
	e.settings.Store(&Settings{Name: "region0-00", Region: "region0"})
	e.buildViews()
	for _, part := range []string{PartConfiguration, PartTargets} {
		e.views[part].Update(view.Snapshot{Revision: 4000, Digest: 1 << 60, AsOf: now, ReceivedAt: now})
	}
	e.targets.byHash = make(map[uint32]string)
	for i := range 33 {
		t := target.New(fmt.Sprintf("engine-%02d", i), "a", "10.1.200.25:80", []string{"s"}, 8, 1, false)
		e.targets.byHash[targetHash(t.Name())] = t.Name()
		r := placement.Request{Service: service.New("s"), PromptTokens: 2300, MaxOutputTokens: 12_000}
		if e.picker.Choose(now, []target.Target{t}, r, placement.ColdShare{}) == nil {
			b.Fatal("no target is chosen")
		}
	}
	limits := make(map[string]ratelimit.Limits)
	for i := range 230 {
		limits[fmt.Sprintf("customer-%03d", i)] = ratelimit.Limits{Rate: 100, Burst: 100}
	}
	e.quota.SetLimits(now.Add(-10*time.Second), limits, 81)
	for i := range 23 {
		e.quota.Take(now, fmt.Sprintf("customer-%03d", i*10), 1)
	}
	for i := range 26 {
		e.handleHeartbeat(now, now, membership.Member{Region: "region0"}, &fleet.Heartbeat{
			Name: fmt.Sprintf("region0-%02d", i+1), Marks: []uint64{1}, Loads: encodeLoads(e.picker.Loads(e.now())),
		})
	}
	peer := membership.Member{Name: "region0-01", Region: "region0", Peers: "10.1.200.25:8229"}
	b.Run("write", func(b *testing.B) {
		b.ReportAllocs()
		size := 0
		for b.Loop() {
			now = now.Add(25 * time.Millisecond)
			size = proto.Size(e.heartbeatPayload(now, peer))
		}
		b.ReportMetric(float64(size), "bytes")
	})
	b.Run("wants", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(25 * time.Millisecond)
			e.wantedTokens(now)
		}
	})
	b.Run("process", func(b *testing.B) {
		h := e.heartbeatPayload(now, peer)
		h.Name, h.Marks = peer.Name, []uint64{1}
		b.ReportAllocs()
		for b.Loop() {
			e.handleHeartbeat(now, now, peer, h)
		}
	})
}
