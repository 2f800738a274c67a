package gateway_test

import (
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"chervilyard.example/chervilyard/gateway"
	"chervilyard.example/chervilyard/placereport"
	"chervilyard.example/yard/catalog"
	"chervilyard.example/yard/fairshare"
	"chervilyard.example/yard/placement"
	"chervilyard.example/yard/service"
	"chervilyard.example/yard/suspect"
	"chervilyard.example/yard/target"
)

// dump writes all that v refers to, also in unexported fields, but functions and channels. The
// pointers that lead to v are in path.
func dump(b *strings.Builder, v reflect.Value, path map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && !path[v.Pointer()] {
			path[v.Pointer()] = true
			dump(b, v.Elem(), path)
			delete(path, v.Pointer())
		}
	case reflect.Interface:
		if !v.IsNil() {
			dump(b, v.Elem(), path)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			fmt.Fprintf(b, "%s{", v.Type().Field(i).Name)
			dump(b, v.Field(i), path)
			b.WriteString("}")
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dump(b, v.Index(i), path)
			b.WriteString(",")
		}
	case reflect.Map:
		var entries []string
		for _, k := range v.MapKeys() {
			var entry strings.Builder
			dump(&entry, k, path)
			entry.WriteString(":")
			dump(&entry, v.MapIndex(k), path)
			entries = append(entries, entry.String())
		}
		slices.Sort(entries)
		fmt.Fprint(b, entries)
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
	default:
		fmt.Fprint(b, v)
	}
}

func state(g *gateway.Gateway) string {
	var b strings.Builder
	dump(&b, reflect.ValueOf(g), make(map[uintptr]bool))
	return b.String()
}

// newExplained returns an instance with engines, one remote instance and a clock that stands:
// "warm" has parts cached, "cold" is cold, "failed" is ejected, "limited" has a rate limit, and
// "busy" has reports of waiting tokens.
func newExplained(t *testing.T, now time.Time) (*testInstance, *fakeTarget) {
	t.Helper()
	warm := newFakeTarget(t, "warm", "ok hello")
	n := newTestInstance(t, "near", []*fakeTarget{warm}, newTestInstance(t, "far", []*fakeTarget{newFakeTarget(t, "r", "ok far")}))
	g := n.gateway
	c := testCatalogOf(service.New("s").WithEngine(8, 1e9).WithColdLimit(2))
	g.Name, g.Now, g.Catalog = "near-0", func() time.Time { return now }, func() *catalog.Catalog { return c }
	g.ColdShare = func(time.Time) placement.ColdShare {
		return placement.ColdShare{Position: placement.Position{Instances: 1}, RateFactor: 1.5}
	}
	targets := g.Targets(now, "s")
	for _, name := range []string{"cold", "failed", "limited", "busy"} {
		targets = append(targets, target.New(name, "c", "127.0.0.1:1", []string{"s"}, 8, 1, false))
	}
	listed := slices.Clone(targets)
	listed[1] = listed[1].WithColdRemaining(time.Second)
	g.Targets = func(time.Time, string) []target.Target { return targets }
	g.Picker.RateLimit = func(_ time.Time, t target.Target) (time.Duration, bool) {
		if t.Name() != "limited" {
			return 0, false
		}
		return 40 * time.Millisecond, true
	}
	g.Picker.UpdateTargets(now.Add(-300*time.Millisecond), now, time.Second, listed)
	share := g.ColdShare(now)
	request := placement.Request{Service: c.Service("s"), PromptTokens: 100, Parts: parts("a:80,b:20"), MaxEventGap: time.Second}
	g.Picker.Choose(now, targets[:1], request, share).End(now, placement.Answered)
	g.Picker.Choose(now, targets[2:3], request, share).End(now, placement.Unreachable)
	g.Picker.UpdatePeerLoads(now.Add(-200*time.Millisecond), now.Add(-200*time.Millisecond), "peer", []placement.Load{{Target: "busy", Open: 4, WaitingTokens: 1000, Answered: 3, Failed: 3}})
	g.Shares = &fairshare.Ledger{}
	g.Shares.Admit(now, "s", "c", 10)
	for _, name := range []string{"c", "bound"} {
		g.Limiter.State(now, name) // refilled up to now
	}
	for _, name := range []string{"e1", "e2"} {
		at := now.Add(-time.Second)
		g.Suspects.RecordEnd(at, suspect.End{Target: name, At: at, Begun: true}, []string{suspect.PartName("s", "bad")})
	}
	return n, warm
}

// Guards against explanations that differ from what a request meets, and against ones that
// count as requests: each is compared with a later one, and the whole state before and after.
func TestExplain(t *testing.T) {
	now := time.Now()
	n, warm := newExplained(t, now)
	g, many := n.gateway, 50_000_000
	cases := []struct {
		name  string
		query placereport.Query
		short bool // the instance refuses for lack of capacity
		want  func(r placereport.Report) bool
	}{
		{"served", placereport.Query{Raw: []byte(getRequest("/read/x", "Parts: a:80,c:20"))}, false, func(r placereport.Report) bool {
			return r.Target == "warm" && r.Refusal == nil && r.Customer == "c" && r.Version == 1 && r.Candidates[0].Target == "warm" && r.Candidates[0].CachedTokens == 80
		}},
		{"far away", placereport.Query{Host: "h.example", Path: "/read/x", Customer: "bound"}, false, func(r placereport.Report) bool {
			return r.Forward == "far-1" && r.ForwardRegion == "far" && len(r.Candidates) == 0
		}},
		{"trial", placereport.Query{Method: "POST", Host: "h.example", Path: "/order/x", Customer: "c", PromptTokens: &many}, false, func(r placereport.Report) bool {
			return r.Target != "" && len(r.Notes) == 2 && strings.Contains(r.Notes[1], "trial") && r.Quota.Needed > r.Quota.Level
		}},
		{"too long", placereport.Query{Method: "POST", Host: "h.example", Path: "/order/x", Customer: "c", PromptTokens: &many}, true, func(r placereport.Report) bool {
			return r.Refusal != nil && r.Refusal.Code == "overloaded" && r.Refusal.RetryAfter > 0
		}},
		{"bad part", placereport.Query{Raw: []byte(getRequest("/read/x")), Parts: []placereport.Part{{ID: "bad", Tokens: 1}, {ID: "b", Tokens: 1}}}, false, func(r placereport.Report) bool {
			return r.Refusal != nil && r.Refusal.Code == "part_suspected" && r.Refusal.RetryAfter > 0
		}},
	}
	for _, c := range cases {
		if c.short { // no trial is due, and no other region serves it
			g.Remotes = func(time.Time, string, bool, func(string) bool) []gateway.RemoteInstance { return nil }
			g.Picker.ChooseTrial(now, g.Targets(now, "s"), placement.Request{Service: g.Catalog().Service("s")}, g.ColdShare(now), placement.TrialTerms{Limit: time.Second, Suited: true})
		}
		g.Shares.Share(now, "s", "c") // the shares are divided anew from time to time
		before := state(g)
		first, err := g.Explain(c.query)
		if err != nil || !c.want(first) {
			t.Errorf("%s: %+v, %v", c.name, first, err)
		}
		if after := state(g); after != before {
			i := 0
			for i < min(len(before), len(after)) && before[i] == after[i] {
				i++
			}
			t.Errorf("%s: the state changed:\n%.300s\n%.300s", c.name, before[max(i-200, 0):], after[max(i-200, 0):])
		}
		if second, _ := g.Explain(c.query); !reflect.DeepEqual(first, second) {
			t.Errorf("%s: %+v, then %+v", c.name, first, second)
		}
	}
	if status, _, _ := roundTrip(t, n, getRequest("/read/x", "Parts: a:80,c:20")); status != http.StatusOK || len(warm.requests()) != 1 {
		t.Errorf("%d, and %d requests at the target", status, len(warm.requests()))
	}
}

// Guards against candidates without the reason why they are not chosen.
func TestExplainedCandidates(t *testing.T) {
	n, _ := newExplained(t, time.Now())
	r, err := n.gateway.Explain(placereport.Query{Raw: []byte(getRequest("/read/x"))})
	if err != nil {
		t.Fatal(err)
	}
	byName := make(map[string]placereport.Candidate)
	for _, c := range r.Candidates {
		byName[c.Target] = c
	}
	failed, limited, busy, cold := byName["failed"], byName["limited"], byName["busy"], byName["cold"]
	if !failed.Ejected || !strings.Contains(failed.Barred, "failed 1 times") || !limited.Limited || !strings.Contains(limited.Barred, "limit") ||
		busy.Barred != "" || busy.WaitingTokens != 1000 || time.Duration(busy.LoadAge) != 200*time.Millisecond || byName["warm"].LoadAge >= 0 ||
		!cold.Cold || cold.ColdLimit != 3 || time.Duration(cold.KnownAge) != 1300*time.Millisecond {
		t.Errorf("%+v", r.Candidates)
	}
	if last := r.Candidates[len(r.Candidates)-1]; len(r.Candidates) != 5 || last.Barred == "" {
		t.Errorf("%+v", r.Candidates)
	}
}

// Guards against explanations of requests that the instance cannot attribute.
func TestExplainUnknown(t *testing.T) {
	n, _ := newExplained(t, time.Now())
	for _, q := range []placereport.Query{
		{Host: "other.example", Path: "/read/x", Customer: "c"}, {Host: "h.example", Path: "/read/x"},
		{Host: "h.example", Path: "/read/x", Customer: "nobody"}, {Host: "h.example", Path: "read"}, {Raw: []byte("GET /\r\n")},
	} {
		if r, err := n.gateway.Explain(q); err == nil {
			t.Errorf("%+v: %+v", q, r)
		}
	}
}
