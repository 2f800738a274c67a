// Package limitrate counts, from the logs of instances, how many requests were sent within
// four seconds to a target that named a rate limit, beside the number that it allows.
package limitrate

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/chervilctl/trace"
)

const (
	// period is the period in which requests are counted. In each, tolerance times what the
	// limit allows and burst requests more are allowed.
	period    = 4 * time.Second
	tolerance = 1.5
	burst     = 5
	// graceTime is how long after a target first named a limit its requests are not
	// counted, and hearTime how long after an instance heard of it those of the instance.
	graceTime = 5 * time.Second
	hearTime  = 500 * time.Millisecond
)

// Peak is the largest number of requests that were sent to a target within four seconds
// while it named a limit.
type Peak struct {
	Target   string
	Limit    float64   // requests per second, the last known when the period ended
	Start    time.Time // when the first of the requests was sent
	Requests int
	Allowed  float64
}

// Counter collects what instances logged of targets with a limit. The zero value is ready to
// use. It is not safe for concurrent use.
type Counter struct {
	sends map[string][]send // by target
	told  map[string][]word // by target
}

type send struct {
	at       time.Time
	instance string
}

// word is what an instance heard of a target's limit.
type word struct {
	at       time.Time
	instance string
	limit    float64
	ended    bool
}

// Add adds one decision. Decisions must be added in chronological order.
func (c *Counter) Add(e trace.Entry) {
	if c.sends == nil {
		c.sends, c.told = make(map[string][]send), make(map[string][]word)
	}
	switch e.Kind {
	case "request":
		c.addRequest(e)
	case "target":
		c.addWord(e)
	}
}

// addRequest adds the attempts of a request, which its reason names in sent_at.
func (c *Counter) addRequest(e trace.Entry) {
	for _, w := range strings.FieldsFunc(e.Reason, func(r rune) bool { return r == ' ' || r == ';' }) {
		list, ok := strings.CutPrefix(w, "sent_at=")
		if !ok {
			continue
		}
		for attempt := range strings.SplitSeq(list, ",") {
			name, ms, _ := strings.Cut(attempt, "@")
			if n, err := strconv.ParseInt(ms, 10, 64); err == nil {
				c.sends[name] = append(c.sends[name], send{time.UnixMilli(n), e.Log})
			}
		}
	}
}

// addWord adds a word on a limit, such as "NAME run 3: 4.1 a second, from its response".
func (c *Counter) addWord(e trace.Entry) {
	change, ok := strings.CutPrefix(e.Choice, "limit ")
	if !ok || change == "not readable" {
		return
	}
	described, rest, _ := strings.Cut(e.Reason, ": ")
	name, _, _ := strings.Cut(described, " ")
	value, _, _ := strings.Cut(rest, " ")
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return
	}
	c.told[name] = append(c.told[name], word{e.Time, e.Log, limit, change == "ended"})
}

// Peaks returns the peak of each target, those nearest to what is allowed first.
func (c *Counter) Peaks() []Peak {
	var list []Peak
	for name, words := range c.told {
		sends := slices.Clone(c.sends[name])
		slices.SortFunc(sends, func(a, b send) int { return a.at.Compare(b.at) })
		if p := peak(sends, words); p.Requests > 0 {
			p.Target = name
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Peak) int {
		return cmp.Or(cmp.Compare(float64(b.Requests)/b.Allowed, float64(a.Requests)/a.Allowed), cmp.Compare(a.Target, b.Target))
	})
	return list
}

// peak returns the largest number of the sends within period, relative to what the limit
// allows at its end.
func peak(sends []send, words []word) Peak {
	var best Peak
	var counted []send
	first := 0
	for _, s := range sends {
		limit, limited := limitAt(words, s.at)
		if !limited || s.at.Before(words[0].at.Add(graceTime)) || !heard(words, s) {
			continue
		}
		counted = append(counted, s)
		for s.at.Sub(counted[first].at) >= period {
			first++
		}
		allowed := tolerance*period.Seconds()*limit + burst
		if n := len(counted) - first; best.Requests == 0 || float64(n)/allowed > float64(best.Requests)/best.Allowed {
			best = Peak{Limit: limit, Start: counted[first].at, Requests: n, Allowed: allowed}
		}
	}
	return best
}

// limitAt returns the limit that any instance heard last before at, and false if there is
// none or it had ended.
func limitAt(words []word, at time.Time) (float64, bool) {
	limit, limited := 0.0, false
	for _, w := range words {
		if w.at.After(at) {
			break
		}
		limit, limited = w.limit, !w.ended
	}
	return limit, limited
}

// heard reports whether the instance had heard of the limit when it sent the request, and
// not of its end.
func heard(words []word, s send) bool {
	known := false
	for _, w := range words {
		if w.instance == s.instance && !w.at.Add(hearTime).After(s.at) {
			known = !w.ended
		}
	}
	return known
}
