package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/warmup"
)

// newColdTestInstance returns an instance with the given target, cold targets of whose
// service bear a request a second, and with the given share of them.
func newColdTestInstance(t *testing.T, f *fakeTarget, share placement.ColdShare) *testInstance {
	t.Helper()
	n := newTestInstance(t, "near", []*fakeTarget{f})
	c := testCatalogOf(service.New("s").WithColdLimit(1))
	n.gateway.Catalog = func() *catalog.Catalog { return c }
	n.gateway.ColdShare = func(time.Time) placement.ColdShare { return share }
	return n
}

// coldForMinute returns the report of a target that is cold for a minute from now on.
func coldForMinute() warmup.Report {
	now := time.Now()
	return warmup.Report{Earliest: now, Latest: now, ColdUntil: now.Add(time.Minute)}
}

// Guards against sending a request that was chosen for a warm target once the target has
// become cold and the instance has no share of its limit.
func TestRequestWithheldFromColdTarget(t *testing.T) {
	f := newFakeTarget(t, "e", "ok hello")
	n := newColdTestInstance(t, f, placement.ColdShare{})
	n.gateway.Pool.OnDial = func(string) { n.gateway.Picker.RecordCheck("e", coldForMinute()) }
	status, body, _ := roundTrip(t, n, getRequest("/read/x"))
	if got := len(f.requests()); got != 0 || status != http.StatusServiceUnavailable {
		t.Errorf("the cold target received %d requests, the response is %d %s", got, status, body)
	}
	// The request was not the target's fault.
	n.gateway.Pool.OnDial = nil
	n.gateway.ColdShare = func(time.Time) placement.ColdShare {
		return placement.ColdShare{Position: placement.Position{Instances: 1}, RateFactor: 1}
	}
	if status, body, _ := roundTrip(t, n, getRequest("/read/x")); status != http.StatusOK {
		t.Errorf("the next request gets %d %s", status, body)
	}
}

// A process stalls between reading the clock and sending a request, once for longer than
// the limit's period. Guards against counting the request from before the stall: the next
// one would be sent within the same second.
func TestColdLimitAfterStall(t *testing.T) {
	const period = time.Second
	for _, stall := range []time.Duration{350 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(stall.String(), func(t *testing.T) {
			t.Parallel()
			f := newFakeTarget(t, "e", "ok hello")
			arrivals := make(chan time.Time, 64)
			f.beforeResponse = func() { arrivals <- time.Now() }
			n := newColdTestInstance(t, f, placement.ColdShare{Position: placement.Position{Instances: 1}, RateFactor: 1})
			n.gateway.Picker.RecordCheck("e", coldForMinute())
			var connected, stalled atomic.Bool
			stallEnd := make(chan time.Time, 1)
			n.gateway.Pool.OnDial = func(string) { connected.Store(true) }
			n.gateway.Now = func() time.Time {
				now := time.Now()
				if connected.Load() && stalled.CompareAndSwap(false, true) {
					time.Sleep(stall)
					stallEnd <- time.Now()
				}
				return now
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				roundTrip(t, n, getRequest("/read/x")) // its own deadline may pass
			}()
			for !stalled.Load() {
				time.Sleep(time.Millisecond)
			}
			for began := time.Now(); time.Since(began) < stall+1800*time.Millisecond; time.Sleep(20 * time.Millisecond) {
				roundTrip(t, n, getRequest("/read/x"))
			}
			<-done
			close(arrivals)
			// The stalled request is sent after the stall, so no other may arrive within
			// the period that follows it, however late arrivals are recorded.
			end, all, within := <-stallEnd, 0, 0
			for at := range arrivals {
				all++
				if at.Sub(end) < period {
					within++
				}
			}
			if within > 1 || all == 0 {
				t.Errorf("%d requests arrive until %v after the stall, 1 is allowed; %d in all", within, period, all)
			}
		})
	}
}

// The target's list is old and the share of its limit is used up. Guards against refusing
// requests that can be sent as soon as a health check proves that the target is warm, and
// against holding those back for long that cannot.
func TestRequestAwaitsProof(t *testing.T) {
	const answerIn = 100 * time.Millisecond // of the health check
	f := newFakeTarget(t, "e", "ok hello")
	n := newTestInstance(t, "near", []*fakeTarget{f})
	c := testCatalogOf(service.New("s").WithColdLimit(2).WithHealthPath("/health"))
	n.gateway.Catalog = func() *catalog.Catalog { return c }
	n.gateway.ColdShare = func(time.Time) placement.ColdShare {
		return placement.ColdShare{Position: placement.Position{Instances: 1}, RateFactor: 1, Unproved: true}
	}
	if status, body, _ := roundTrip(t, n, getRequest("/read/x")); status != http.StatusOK {
		t.Fatalf("the first request gets %d %s", status, body)
	}
	proof := time.AfterFunc(answerIn, func() {
		now := time.Now()
		n.gateway.Picker.RecordCheck("e", warmup.Report{Earliest: now, Latest: now})
	})
	defer proof.Stop()
	if status, body, _ := roundTrip(t, n, getRequest("/read/x")); status != http.StatusOK {
		t.Errorf("a request gets %d %s, though the target is proved to be warm after %v", status, body, answerIn)
	}
	began := time.Now()
	status, body, _ := roundTrip(t, n, getRequest("/read/x"))
	if took := time.Since(began); status != http.StatusServiceUnavailable || took > 400*time.Millisecond {
		t.Errorf("without a proof a request gets %d %s after %v", status, body, took)
	}
}
