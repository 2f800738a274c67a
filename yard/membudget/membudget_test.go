package membudget_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/scripttest"
)

// player runs one script. The steps are:
//
//	limit 800            the bound of the budget
//	open a bodies        a request begins; the kind is "bodies", "forwarded" or "responses"
//	reserve a 100        it reserves bytes and has to get them
//	wait a 100           it reserves bytes and has to wait
//	progress a 2000      bytes of it arrive
//	write a              it is a response that is being written, and its caller stops reading
//	take a               the caller of the response takes something of it
//	settle a             it has arrived in full
//	close a              it returns its bytes
//	press                ends stalled requests
//	granted a, waits a   it got the bytes that it waits for, or not
//	ended a, open? a     it was ended, or not
func TestScripts(t *testing.T) {
	scripttest.Run(t, func(t *testing.T, steps []scripttest.Step) {
		var b membudget.Budget
		requests := make(map[string]*membudget.Reservation)
		waits := make(map[string]<-chan struct{})
		ended := make(map[string]bool)
		taken := make(map[string]time.Time)
		for _, s := range steps {
			name := ""
			if len(s.Words) > 1 {
				name = s.Words[1]
			}
			r := requests[name]
			check := func(want, got bool) {
				if got != want {
					t.Errorf("line %d: %q is not so; %s", s.Line, s.Words, b.Describe())
				}
			}
			switch s.Words[0] {
			case "limit":
				b.SetLimit(s.At, int64(s.Number(t, 1)))
			case "open":
				kind := membudget.Bodies
				end := func() { ended[name] = true }
				switch s.Words[2] {
				case "forwarded":
					kind = membudget.Forwarded
				case "responses":
					kind, end = membudget.Responses, nil // it is given when the response is written
				}
				requests[name] = b.Open(s.At, kind, end)
			case "reserve", "wait":
				waits[name] = r.Reserve(s.At, int(s.Number(t, 2)))
				check(s.Words[0] == "wait", waits[name] != nil)
			case "progress":
				r.Progress(s.At, int(s.Number(t, 2)))
			case "write":
				taken[name] = s.At
				r.Write(func(time.Time) (time.Time, bool) { return taken[name], true }, func() { ended[name] = true })
			case "take":
				taken[name] = s.At
			case "settle":
				check(!ended[name], r.Settle())
			case "close":
				r.Close(s.At)
			case "press":
				b.EndStalled(s.At)
			case "granted", "waits":
				select {
				case <-waits[name]:
					check(s.Words[0] == "granted", true)
				default:
					check(s.Words[0] == "granted", false)
				}
			case "ended", "open?":
				check(s.Words[0] == "ended", ended[name])
			default:
				t.Fatalf("line %d: %q is not a step", s.Line, s.Words[0])
			}
		}
	})
}

// Checks that the sum of all reservations never exceeds the bound, that it is the sum over
// the kinds, that no request is ended after it has arrived in full, and that all bytes are
// returned, in whatever order requests begin, wait, give up and end. The load is a crowd of
// bodies that together need several times the budget.
func TestSumWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type request struct {
			*membudget.Reservation
			wait    <-chan struct{}
			settled bool
		}
		const limit = 64 << 10
		var b membudget.Budget
		now := time.Unix(1_700_000_000, 0)
		b.SetLimit(now, limit)
		var open []*request
		check := func() {
			var sum int64
			for _, k := range membudget.Kinds() {
				if b.Held(k) < 0 {
					t.Fatalf("negative: %s", b.Describe())
				}
				sum += b.Held(k)
			}
			if sum > limit {
				t.Fatalf("over the bound: %s", b.Describe())
			}
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				r := &request{}
				r.Reservation = b.Open(now, rapid.SampledFrom(membudget.Kinds()).Draw(t, "kind"), func() {
					if r.settled {
						t.Fatalf("ended although it has arrived")
					}
				})
				open = append(open, r)
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "request")
			r := open[i]
			if r.wait != nil {
				select {
				case <-r.wait:
					r.wait = nil
				default:
				}
			}
			switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
			case action == 5 || r.wait != nil && action > 1:
				r.Withdraw()
				r.Close(now)
				open = slices.Delete(open, i, i+1)
			case r.wait != nil:
				b.EndStalled(now)
			case action < 2 && !r.settled:
				r.wait = r.Reserve(now, rapid.IntRange(1, 16<<10).Draw(t, "bytes"))
			case action == 2:
				r.Progress(now, rapid.IntRange(1, 4<<10).Draw(t, "arrived"))
			case action == 3:
				r.settled = r.Settle()
				r.Move(now, membudget.Retries)
			case action == 4:
				r.TryReserve(rapid.IntRange(1, 16<<10).Draw(t, "try"))
			}
			check()
		}
		for _, r := range open {
			r.Close(now)
			check()
		}
		for _, k := range membudget.Kinds() {
			if b.Held(k) != 0 {
				t.Fatalf("not returned: %s", b.Describe())
			}
		}
	})
}
