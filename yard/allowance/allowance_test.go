package allowance_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilyard.example/yard/allowance"
	"chervilyard.example/yard/script"
)

func TestScripts(t *testing.T) {
	script.Each(t, func(t *testing.T, steps []script.Step) {
		var b allowance.Book
		for _, s := range steps {
			switch s.Words[0] {
			case "divide":
				b.Divide(s.At, map[string]allowance.Terms{"c": {Rate: s.Number(t, 1), Burst: s.Number(t, 2)}}, int(s.Number(t, 3)))
			case "take":
				if got, want := b.Take(s.At, "c", s.Number(t, 1)), s.Words[2] == "yes"; got != want {
					t.Errorf("line %d: Take is %v, want %v", s.Line, got, want)
				}
			case "add":
				b.Add(s.At, "c", s.Number(t, 1))
			case "give":
				if got, want := b.Give(s.At, "c", s.Number(t, 1)), s.Number(t, 2); math.Abs(got-want) > 1 {
					t.Errorf("line %d: Give is %v, want %v", s.Line, got, want)
				}
			case "lack":
				if got, want := b.Lack(s.At, "c", s.Number(t, 1)), s.Number(t, 2); math.Abs(got-want) > 1 {
					t.Errorf("line %d: Lack is %v, want %v", s.Line, got, want)
				}
			case "wait":
				if got, want := b.Wait(s.At, "c", s.Number(t, 1)), s.Time(t, 2); (got - want).Abs() > time.Millisecond {
					t.Errorf("line %d: Wait is %v, want %v", s.Line, got, want)
				}
			default:
				t.Fatalf("line %d: %q is not a step", s.Line, s.Words[0])
			}
		}
	})
}

// Whatever is asked, given, lost and restarted, all instances together admit in
// any span no more than rate and burst allow, and what a request over a full
// bucket owes.
func TestFleetStaysUnder(t *testing.T) {
	const rate, burst, window = 1000.0, 2000.0, 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 6).Draw(t, "instances")
		books := make([]*allowance.Book, size)
		begin := time.Unix(0, 0)
		terms := map[string]allowance.Terms{"c": {Rate: rate, Burst: burst}}
		for i := range books {
			books[i] = &allowance.Book{}
			books[i].Divide(begin, terms, size)
		}
		largest := rapid.Float64Range(1, burst/float64(size)).Draw(t, "largest")
		type admitted struct {
			at     time.Duration
			tokens float64
		}
		var list []admitted
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			at := begin.Add(now)
			i := rapid.IntRange(0, size-1).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				giver := books[rapid.IntRange(0, size-1).Draw(t, "giver")]
				given := giver.Give(at, "c", books[i].Wants(at)["c"])
				if rapid.Bool().Draw(t, "arrives") {
					books[i].Add(at, "c", given)
				}
			case 1:
				books[i] = &allowance.Book{} // started anew
				books[i].Divide(at, terms, size)
			default:
				tokens := rapid.Float64Range(0, largest).Draw(t, "tokens")
				if books[i].Take(at, "c", tokens) {
					list = append(list, admitted{now, tokens})
				}
			}
		}
		for _, last := range list {
			sum := 0.0
			for _, one := range list {
				if one.at <= last.at && one.at > last.at-window {
					sum += one.tokens
				}
			}
			if most := rate*window.Seconds() + burst + 1; sum > most {
				t.Fatalf("%v tokens in the window that ends at %v, at most %v", sum, last.at, most)
			}
		}
	})
}
