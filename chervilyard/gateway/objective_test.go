package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/yard/membership"
)

// The route's objective is 400 ms and the round trip 110 ms, and a request takes 50 ms beside its
// queueing time. Guards against a forwarded request that gets the whole objective again at the other
// instance, against one that is refused there only because time has passed since it arrived, and
// against a fleet of two versions that does not work.
func TestObjectiveOverHop(t *testing.T) {
	const header = "Chervil-Objective"
	const trip = 110 * time.Millisecond
	for _, c := range []struct {
		name          string
		told          time.Duration // expected queueing time at the other instance, as it is known here
		waitingTokens int           // hundredths of a millisecond of the actual one
		delay         time.Duration // from the arrival until the request is forwarded
		change        func(h http.Header)
		want          string // value of the header; "" if it depends on the time
		status        int
	}{
		{"served late there", 10 * time.Millisecond, 26_000, 0, nil, "", http.StatusServiceUnavailable},
		{"served in time there", 10 * time.Millisecond, 20_000, 0, nil, "", http.StatusOK},
		{"timely by the estimate", 239_900 * time.Microsecond, 23_990, 20 * time.Millisecond, nil, "290", http.StatusOK},
		{"older sender", 10 * time.Millisecond, 26_000, 0, func(h http.Header) { h.Del(header) }, "", http.StatusOK},
		{"unreadable", 10 * time.Millisecond, 26_000, 0, func(h http.Header) { h.Set(header, "soon") }, "", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			far, f := newEngineInstance(t, c.waitingTokens)
			var stated string
			hop := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				stated = r.Header.Get(header)
				if c.change != nil {
					c.change(r.Header)
				}
				far.gateway.ServeForwarded(w, r)
			}))
			defer hop.Close()
			near := newTestInstance(t, "near", nil)
			near.gateway.Catalog = far.gateway.Catalog
			near.gateway.Protocol.ParseRequest = func(r *http.Request) (gateway.Request, string) {
				time.Sleep(c.delay)
				return wire.ParseRequest(r)
			}
			near.gateway.Remotes = func(time.Time, string, bool, func(string) bool) []gateway.RemoteInstance {
				return []gateway.RemoteInstance{{Wait: c.told + trip, RoundTrip: trip, Member: membership.Member{
					Name: "far-1", Region: "far", Forward: hop.Listener.Addr().String(),
				}}}
			}
			status, body, _ := roundTrip(t, near, getRequest("/order/x"))
			if status != c.status || (len(f.requests()) > 0) != (c.status == http.StatusOK) {
				t.Errorf("%d %s; stated %q", status, body, stated)
			}
			if ms, err := time.ParseDuration(stated + "ms"); c.want != "" && stated != c.want || err != nil || ms <= 0 || ms > 290*time.Millisecond {
				t.Errorf("stated %q", stated)
			}
		})
	}
}
