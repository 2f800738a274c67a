package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"chervilyard.example/chervilyard/pool"
)

// wholeBody is the body of the response that brokenResponse cuts.
var wholeBody = events("a,b")

// brokenResponse is a response that its target breaks off after some bytes.
type brokenResponse struct {
	end, framing, mediaType string
	size                    int // bytes that the target sends
}

// script returns the response as a script for a fakeTarget.
func (b brokenResponse) script() string {
	return strings.Join([]string{"part", itoa(b.size), b.end, b.framing, b.mediaType, "a,b"}, " ")
}

// text returns the bytes of the response if it is not broken off.
func (b brokenResponse) text(target string) string {
	return framed(b.framing, func(status, more string) string {
		return "HTTP/1.1 " + status + "\r\nId: 1\r\nStamp: " + target + "\r\n" + more + "\r\n"
	}, b.mediaType, wholeBody)
}

// looksComplete reports whether nothing in what the target sends tells that the response
// is not complete: it has neither a length nor chunks, and its connection ends in good
// order, where it is a stream between two events.
func (b brokenResponse) looksComplete(target string) bool {
	whole := b.text(target)
	if b.framing != pool.FramedByClose {
		return b.size == len(whole)
	}
	_, sent, headerSent := strings.Cut(whole[:b.size], "\r\n\r\n")
	if b.end != "close" || !headerSent {
		return false
	}
	return b.mediaType != "text/event-stream" || sent == events("a") || sent == wholeBody
}

// Guards against a response that its target broke off and that reaches the caller as if
// it were complete, on each kind of route, directly and over a second instance.
func TestBrokenResponseIsNotComplete(t *testing.T) {
	for _, path := range []string{"stream", "resume", "read", "order"} {
		for _, framing := range []string{pool.FramedByClose, pool.FramedByChunks, pool.FramedByLength} {
			for _, mediaType := range []string{"text/event-stream", "text/plain"} {
				for _, end := range []string{"close", "reset"} {
					for _, hop := range []bool{false, true} {
						name := strings.Join([]string{path, framing, mediaType, end, map[bool]string{false: "direct", true: "hop"}[hop]}, "_")
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							testBreaks(t, path, hop, brokenResponse{end: end, framing: framing, mediaType: mediaType})
						})
					}
				}
			}
		}
	}
}

// testBreaks breaks the response at every byte of its body and at some of its header.
func testBreaks(t *testing.T, path string, hop bool, b brokenResponse) {
	t.Helper()
	const headerStep = 17
	whole := b.text("e")
	header := strings.Index(whole, "\r\n\r\n") + 4
	for b.size = 0; b.size <= len(whole); b.size++ {
		if b.size < header-1 && b.size%headerStep != 0 {
			continue
		}
		target := newFakeTarget(t, "e", b.script())
		n := newTestInstance(t, "near", []*fakeTarget{target})
		if hop {
			n = newTestInstance(t, "far", nil, n)
		}
		status, body, _ := roundTrip(t, n, getRequest("/"+path+"/x"))
		if status == http.StatusOK && !strings.HasSuffix(body, "cut") && !b.looksComplete("e") {
			t.Errorf("broken off after %d of %d bytes: the caller gets a complete response with %q", b.size, len(whole), body)
		}
		if sends := len(target.requests()); sends != 1 && path != "read" && path != "resume" {
			t.Errorf("broken off after %d bytes: sent %d times", b.size, sends)
		}
	}
}

// Guards against a resumed stream that misses a piece, repeats one or looks complete,
// after its first target broke it off in good order inside an event.
func TestBrokenStreamIsResumed(t *testing.T) {
	for _, framing := range []string{pool.FramedByClose, pool.FramedByChunks} {
		b := brokenResponse{end: "close", framing: framing, mediaType: "text/event-stream"}
		whole := b.text("e0")
		for b.size = strings.Index(whole, "\r\n\r\n") + 4; b.size < len(whole); b.size++ {
			if b.looksComplete("e0") {
				continue
			}
			broken, sound := newFakeTarget(t, "e0", b.script()), newFakeTarget(t, "e1", "rest a,b")
			n := newTestInstance(t, "near", []*fakeTarget{broken, sound})
			if status, body, _ := roundTrip(t, n, getRequest("/resume/x")); status != http.StatusOK || body != wholeBody {
				t.Errorf("%s, broken off after %d of %d bytes: %d %q", framing, b.size, len(whole), status, body)
			}
		}
	}
}
