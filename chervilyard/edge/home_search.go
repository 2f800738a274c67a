package edge

import (
	"context"
	"slices"
	"time"

	"chervilyard.example/yard/membership"
)

// maxNamedHomes bounds the members that are asked for the tokens of one request because
// others named them.
const maxNamedHomes = 4

// homeSearch asks the homes of a customer for the tokens of one request.
type homeSearch struct {
	self string
	// ask asks a member for the tokens. It returns when the context ends at the latest.
	ask func(ctx context.Context, m membership.Member) homeAnswer
	// patience is how long the search goes on after a member has refused the tokens because it
	// has too few.
	patience time.Duration
	// overdue returns how long a member that has not answered keeps the next one from being
	// asked.
	overdue func(m membership.Member) time.Duration
	// refund returns the tokens that a member granted after another one had.
	refund func(m membership.Member)
}

// homeAnswer is a member's answer. The zero value, but for the member, stands for none.
type homeAnswer struct {
	from    membership.Member
	granted bool
	wait    time.Duration       // until the member may grant the tokens; 0 if it does not know
	homes   []membership.Member // that hold the customer's tokens, if the member holds none
}

// run asks the members one after another, and those that they name, until one grants the
// tokens. It reports whether one did and, if not, the shortest time after which one may.
func (s *homeSearch) run(ctx context.Context, members []membership.Member) (bool, time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan homeAnswer)
	asked, answered := 0, 0
	defer func() {
		cancel()
		for ; answered < asked; answered++ {
			if a := <-answers; a.granted {
				s.refund(a.from)
			}
		}
	}()
	members = slices.Clone(members)
	var wait time.Duration
	named := 0
	patience, impatient := time.After(s.patience), false
	for !impatient || wait == 0 {
		var overdue <-chan time.Time
		if asked < len(members) && ctx.Err() == nil {
			m := members[asked]
			asked++
			go func() { answers <- s.ask(ctx, m) }()
			overdue = time.After(s.overdue(m))
		}
		if answered == asked {
			break
		}
		select {
		case <-overdue:
		case <-patience:
			impatient = true
		case a := <-answers:
			answered++
			if a.granted {
				return true, 0
			}
			if a.wait > 0 && (wait == 0 || a.wait < wait) {
				wait = a.wait
			}
			next := asked
			for _, home := range a.homes {
				known := func(m membership.Member) bool { return m.Name == home.Name }
				if named < maxNamedHomes && home.Name != s.self && !slices.ContainsFunc(members, known) {
					members = slices.Insert(members, next, home)
					next++
					named++
				}
			}
		}
	}
	return false, wait
}
