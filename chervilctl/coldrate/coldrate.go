// Package coldrate counts, from the logs of instances, how many requests were sent to a
// target within one second while it was cold.
package coldrate

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilyard.example/chervilctl/trace"
)

// period is the period to which the rate limit of a cold target applies.
const period = time.Second

// Peak is the largest number of requests that were sent to a target within one second
// while it was cold.
type Peak struct {
	Target   string
	Start    time.Time // when the first of the requests was sent
	Requests int
	ByCold   int // requests of instances that took the target for cold
}

// Counter collects what instances logged of cold targets. The zero value is ready to use.
// It is not safe for concurrent use.
type Counter struct {
	sends map[string][]send      // by target
	ends  map[string][]time.Time // of cold times, by target
}

type send struct {
	at   time.Time
	cold bool // the instance took the target for cold
}

// Add adds one decision.
func (c *Counter) Add(e trace.Entry) {
	if c.sends == nil {
		c.sends, c.ends = make(map[string][]send), make(map[string][]time.Time)
	}
	switch e.Kind {
	case "request":
		c.addRequest(e)
	case "target":
		c.addColdTime(e)
	}
}

// addRequest adds the attempts of a request. Its reason names the attempts that had a
// connection in sent_at, and what was believed of those at targets that were not warm for
// long.
func (c *Counter) addRequest(e trace.Entry) {
	believedCold, left := make(map[string]bool), make(map[string]time.Duration)
	words := strings.FieldsFunc(e.Reason, func(r rune) bool { return r == ' ' || r == ';' })
	for _, word := range words {
		belief, ok := strings.CutPrefix(word, "believed=")
		if !ok {
			continue
		}
		parts := strings.Split(belief, ",")
		believedCold[parts[0]] = slices.Contains(parts, "cold") || slices.Contains(parts, "became-cold")
		left[parts[0]] = duration(parts, "left=") - duration(parts, "sent=")
	}
	for _, word := range words {
		list, ok := strings.CutPrefix(word, "sent_at=")
		if !ok {
			continue
		}
		for attempt := range strings.SplitSeq(list, ",") {
			name, ms, _ := strings.Cut(attempt, "@")
			if n, err := strconv.ParseInt(ms, 10, 64); err == nil {
				at := time.UnixMilli(n)
				c.sends[name] = append(c.sends[name], send{at, believedCold[name]})
				if left[name] > 0 {
					c.ends[name] = append(c.ends[name], at.Add(left[name]))
				}
			}
		}
	}
}

// duration returns the value of the part with the given prefix, 0 if there is none.
func duration(parts []string, prefix string) time.Duration {
	for _, part := range parts {
		if text, ok := strings.CutPrefix(part, prefix); ok {
			d, _ := time.ParseDuration(text) // 0 on an error
			return d
		}
	}
	return 0
}

// addColdTime adds the remaining cold time that the target list or a health check told, such
// as "NAME at revision 7, run 3, cold for 2s at=1787771335532": the time, which does not step
// with the time of day, is in Unix milliseconds.
func (c *Counter) addColdTime(e trace.Entry) {
	described, left, ok := strings.Cut(e.Reason, ", cold for ")
	if !ok {
		return
	}
	name, _, _ := strings.Cut(described, " ")
	told := e.Time // of logs of older versions
	left, at, ok := strings.Cut(left, " at=")
	if n, err := strconv.ParseInt(at, 10, 64); ok && err == nil {
		told = time.UnixMilli(n)
	}
	if d, err := time.ParseDuration(left); err == nil && d > 0 {
		c.ends[name] = append(c.ends[name], told.Add(d))
	}
}

// Peaks returns the peak of each target, the largest first. A target is taken for cold for
// coldTime before the end of each of its cold times. Of the ends that were told within
// coldTime the earliest counts, since what instances hear late ends late.
func (c *Counter) Peaks(coldTime time.Duration) []Peak {
	var list []Peak
	for name, told := range c.ends {
		ends := earliest(told, coldTime)
		sends := slices.Clone(c.sends[name])
		slices.SortFunc(sends, func(a, b send) int { return a.at.Compare(b.at) })
		sends = slices.DeleteFunc(sends, func(s send) bool {
			return !slices.ContainsFunc(ends, func(end time.Time) bool { return s.at.Before(end) && s.at.After(end.Add(-coldTime)) })
		})
		if p := peak(sends); p.Requests > 0 {
			p.Target = name
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b Peak) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Target, b.Target))
	})
	return list
}

// earliest returns the times that are at least distance after the one returned before, in
// chronological order.
func earliest(times []time.Time, distance time.Duration) []time.Time {
	var list []time.Time
	for _, t := range slices.SortedFunc(slices.Values(times), time.Time.Compare) {
		if len(list) == 0 || t.Sub(list[len(list)-1]) >= distance {
			list = append(list, t)
		}
	}
	return list
}

// peak returns the largest number of the sends within period.
func peak(sends []send) Peak {
	var best Peak
	first := 0
	for i := range sends {
		for sends[i].at.Sub(sends[first].at) >= period {
			first++
		}
		if n := i - first + 1; n > best.Requests {
			best = Peak{Start: sends[first].at, Requests: n}
			for _, s := range sends[first : i+1] {
				if s.cold {
					best.ByCold++
				}
			}
		}
	}
	return best
}
