package drill

import (
	"fmt"
	"os"
	"testing"
)

func TestDbg(t *testing.T) {
	b, _ := os.ReadFile("scenario/even.ini")
	s, _ := ParseScript("even", string(b))
	n := 0
	dbg = func(a *ask, j *judge) {
		d := j.drill
		if !a.verdict.counted || !a.verdict.inside {
			return
		}
		n++
		if n%97 != 0 {
			return
		}
		sum, lent, burst, rate := 0.0, 0.0, 0.0, 0.0
		per := ""
		for _, x := range d.nodes {
			st := x.lender.State(d.clock(x), a.customer)
			sum += st.Now.Level
			lent += st.Lent.Burst
			burst += st.Now.Burst
			rate += st.Now.Rate
			per += fmt.Sprintf(" %.0f/%.0f(own%.0f d%.0f r%.0f)", st.Now.Level, st.Now.Burst, st.Own.Burst, st.Demand, st.Now.Rate)
		}
		fmt.Printf("%s need %.0f sum %.0f burst %.0f rate %.0f lent %.0f whole %.0f rounds %d asks %d |%s\n", a.customer, a.tokens, sum, burst, rate, lent, j.records[a.customer].whole.tokens, a.round, 0, per)
	}
	r, _ := Run(s)
	fmt.Println(r)
}
