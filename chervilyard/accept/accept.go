// Package accept takes a caller's request in: bounds its body, gives it an
// identifier and refuses what only peers may say.
package accept

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/sink"
	"chervilyard.example/yard/refusal"
)

// PeerHeaders start the header names that instances reserve; a caller who sets
// one is refused.
const PeerHeaders = "Chervil-"

// Stage takes requests in.
type Stage struct {
	Body   int           // most bytes of a request's body
	Read   time.Duration // to receive a body
	Write  time.Duration // for a caller to take a piece of the answer
	Region func() string // of this instance
}

// Run returns the call that the request makes.
func (s *Stage) Run(now time.Time, w http.ResponseWriter, r *http.Request) (*call.Call, error) {
	c := &call.Call{
		ID:      newID(),
		Arrived: now,
		Method:  r.Method,
		Path:    r.URL.Path,
		Query:   r.URL.RawQuery,
		Header:  r.Header,
		Answer:  sink.HTTP(w, s.Write),
		From:    s.Region(),
	}
	w.Header().Set("X-Request-Id", c.ID)
	for name := range r.Header {
		if strings.HasPrefix(name, PeerHeaders) {
			return c, refusal.NotRun(http.StatusBadRequest, "reserved_header", "the header "+name+" is reserved for instances")
		}
	}
	control := http.NewResponseController(w)
	// The deadline is for the body alone: one that passed later would end a
	// long answer. A recorder in a test has none to set.
	_ = control.SetReadDeadline(now.Add(s.Read))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.Body)))
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return c, refusal.NotRun(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit")
	case err != nil:
		return c, refusal.NotRun(http.StatusBadRequest, "body_broken", "the body could not be read whole").Because(err)
	}
	c.Body = body
	return c, nil
}

func newID() string {
	raw := make([]byte, 12)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error
	return "r" + hex.EncodeToString(raw)
}
