// Package readqueue models the prompts that wait to be read at a model engine. An engine reads
// them in the order in which they arrive, at a speed that is learned elsewhere, so the time
// until it has read a new one follows from what was sent to it. Counting the requests that have
// no first event yet overestimates that: an event may come long after its prompt was read, and
// other instances hear of it later still.
package readqueue

import "time"

// Queue holds the prompt tokens that were sent to one engine and that it has not read yet. The
// zero value is empty. It is not safe for concurrent use.
type Queue struct {
	tokens     float64   // not read yet, as of at
	at         time.Time // of the last change
	emptySince time.Time // if there are no tokens; zero if there never were
	readUpTo   time.Time // what was sent until then has been read
	arrived    float64   // all tokens that were added
}

// Mark identifies what had been sent to the engine at some time.
type Mark struct {
	at      time.Time
	arrived float64
}

// drain removes the tokens that were read until now, at perTokenMS milliseconds for each.
func (q *Queue) drain(now time.Time, perTokenMS float64) {
	if !now.After(q.at) {
		return
	}
	if q.tokens > 0 && perTokenMS > 0 {
		readMS := q.tokens * perTokenMS
		if left := readMS - now.Sub(q.at).Seconds()*1000; left > 0 {
			q.tokens = left / perTokenMS
		} else {
			q.tokens, q.emptySince = 0, q.at.Add(time.Duration(readMS*float64(time.Millisecond)))
		}
	}
	q.at = now
}

// Tokens returns the tokens that are not read yet.
func (q *Queue) Tokens(now time.Time, perTokenMS float64) float64 {
	q.drain(now, perTokenMS)
	return q.tokens
}

// Add adds tokens that were sent at a time up to now, and returns the mark of what has been sent
// with them.
func (q *Queue) Add(now, sentAt time.Time, tokens int, perTokenMS float64) Mark {
	q.drain(now, perTokenMS)
	q.arrived += float64(tokens)
	mark := Mark{at: sentAt, arrived: q.arrived}
	if sentAt.Before(q.readUpTo) {
		return mark
	}
	left := float64(tokens)
	if q.tokens == 0 && perTokenMS > 0 { // the engine has read on since they arrived
		begun := sentAt
		if q.emptySince.After(begun) {
			begun = q.emptySince
		}
		left -= max(now.Sub(begun).Seconds()*1000, 0) / perTokenMS
		if left <= 0 {
			return mark
		}
	}
	q.tokens += left
	return mark
}

// Read records that the engine has read everything up to the mark.
func (q *Queue) Read(now time.Time, m Mark, perTokenMS float64) {
	q.drain(now, perTokenMS)
	if m.at.After(q.readUpTo) {
		q.readUpTo = m.at
	}
	if since := max(q.arrived-m.arrived, 0); since < q.tokens {
		q.tokens = since
		if since == 0 {
			q.emptySince = now
		}
	}
}

// Limit records that at most a number of tokens are not read yet.
func (q *Queue) Limit(now time.Time, tokens int, perTokenMS float64) {
	q.drain(now, perTokenMS)
	if limit := float64(max(tokens, 0)); limit < q.tokens {
		if q.tokens = limit; limit == 0 {
			q.emptySince = now
		}
	}
}

// Remove takes back tokens that the engine need not read any more.
func (q *Queue) Remove(now time.Time, tokens int, perTokenMS float64) {
	q.drain(now, perTokenMS)
	if q.tokens == 0 {
		return
	}
	if q.tokens = max(q.tokens-float64(tokens), 0); q.tokens == 0 {
		q.emptySince = now
	}
}
