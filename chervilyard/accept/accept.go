// Package accept reads a caller's request. It limits the size of the body,
// assigns an identifier and refuses headers that are reserved for instances.
package accept

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/handover"
	"chervilyard.example/chervilyard/reqbody"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/membudget"
	"chervilyard.example/yard/refusal"
)

// ReservedHeaderPrefix is the prefix of the header names that are reserved for
// requests between instances. A caller's request with such a header is refused.
const ReservedHeaderPrefix = "Chervil-"

// Stage reads requests. Its fields are set before use.
type Stage struct {
	MaxBodyBytes int           // maximum size of a request body in bytes
	ReadTimeout  time.Duration // time limit for receiving the body
	WriteTimeout time.Duration // time limit for each write of the answer
	Region       func() string // returns the region of this instance
	Bodies       reqbody.Reader
}

// Run reads the request and returns its call. The call is not nil even if the
// request is refused; the error is then a *refusal.Refusal.
func (s *Stage) Run(now time.Time, w http.ResponseWriter, r *http.Request) (*call.Call, error) {
	c := &call.Call{
		ID:           newID(),
		Arrived:      now,
		Method:       r.Method,
		Path:         r.URL.Path,
		Query:        r.URL.RawQuery,
		Header:       r.Header,
		Sink:         sink.HTTP(w, s.WriteTimeout),
		OriginRegion: s.Region(),
	}
	s.watchUnread(c.Sink, r)
	w.Header().Set("X-Request-Id", c.ID)
	for name := range r.Header {
		if strings.HasPrefix(name, ReservedHeaderPrefix) {
			return c, refusal.NotRun(http.StatusBadRequest, "reserved_header", "the header "+name+" is reserved for instances")
		}
	}
	body, err := s.Bodies.Read(w, r, reqbody.Limits{
		Kind: membudget.Bodies, MaxBytes: int64(s.MaxBodyBytes), Deadline: now.Add(s.ReadTimeout), Whole: true,
	})
	var failed *reqbody.Error
	if errors.As(err, &failed) {
		return c, bodyRefusal(failed)
	}
	c.Body = body.Bytes()
	c.ReleaseBody = func() { body.Release(s.Bodies.Now()) }
	return c, nil
}

// watchUnread lets the response be ended while memory is short, if its caller does not read it.
func (s *Stage) watchUnread(to *sink.Sink, r *http.Request) {
	to.UnreadSince = handover.UnreadSince(r.Context())
	end := to.End
	to.End = func() {
		end()
		if s.Bodies.OnRefused != nil {
			s.Bodies.OnRefused(s.Bodies.Now(), &reqbody.Error{Reason: reqbody.Unread, Kind: membudget.Responses})
		}
	}
}

// bodyRefusal returns the refusal of a request whose body was not read.
func bodyRefusal(err *reqbody.Error) error {
	switch err.Reason {
	case reqbody.TooLong:
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit")
	case reqbody.Stalled, reqbody.Late:
		return refusal.NotRun(http.StatusRequestTimeout, "body_late", "the body did not arrive in time").WithCause(err)
	case reqbody.Exhausted:
		return refusal.NotRun(http.StatusServiceUnavailable, "memory", "the memory for bodies is used up").WithRetryAfter(reqbody.RetryAfter).WithCause(err)
	}
	return refusal.NotRun(http.StatusBadRequest, "body_broken", "the body could not be read whole").WithCause(err)
}

// newID returns a random identifier of 96 bits.
func newID() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error
	return "r" + hex.EncodeToString(raw)
}
