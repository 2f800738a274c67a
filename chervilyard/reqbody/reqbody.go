// Package reqbody reads request bodies into memory within a budget. A body is kept in pieces,
// so that it never has to be copied into a larger buffer.
package reqbody

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"chervilyard.example/yard/membudget"
)

const (
	// firstPiece and maxPiece bound the pieces in bytes. Each is twice as long as the one
	// before, so that a sender cannot make the instance hold much more than it has sent.
	firstPiece = membudget.FirstBytes
	maxPiece   = 64 << 10
	// maxWait is how long a body waits for the budget: until the ones that have stalled have
	// been ended, and their bytes returned.
	maxWait = 2 * membudget.StallTime
	// checkInterval is the time between two checks for stalled requests while a body waits.
	checkInterval = membudget.StallTime / 5
)

// RetryAfter is the retry delay of a request for which the budget has no bytes.
const RetryAfter = time.Second

// Reasons for which a body is not read. They are labels of metrics.
const (
	TooLong   = "too_long"  // longer than the limit
	Stalled   = "stalled"   // nothing arrived for too long while the budget was used up
	Exhausted = "exhausted" // the budget was used up
	Late      = "late"      // not complete at the deadline
	Unread    = "unread"    // not of a body: the caller took nothing of the response for too long while the budget was used up
	Broken    = "broken"    // the connection or the framing of the body broke
)

// Error is the error of a body that was not read. The connection is closed after the response,
// since the rest of the body may follow on it.
type Error struct {
	Reason string
	Kind   membudget.Kind
	Sums   string // what the budget held; "" if it was not the cause
	Err    error  // may be nil
}

// Error returns the kind, the reason, the sums and the cause.
func (e *Error) Error() string {
	text := "reqbody: " + e.Kind.String() + " " + e.Reason
	if e.Sums != "" {
		text += ": " + e.Sums
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Body is a body that has been read. The zero value is empty.
type Body struct {
	pieces      [][]byte
	length      int
	reservation *membudget.Reservation
}

// Pieces returns the bytes of the body in order.
func (b *Body) Pieces() [][]byte { return b.pieces }

// Len returns the length in bytes, also after Release and Detach.
func (b *Body) Len() int { return b.length }

// Keep records that the body is kept only in case that it has to be sent again.
func (b *Body) Keep(now time.Time) { b.reservation.Move(now, membudget.Retries) }

// Detach returns a body that holds the bytes and their reservation in place of this one, which
// keeps its length.
func (b *Body) Detach() Body {
	detached := *b
	b.pieces, b.reservation = nil, nil
	return detached
}

// Release forgets the bytes and returns them to the budget.
func (b *Body) Release(now time.Time) {
	if b.reservation == nil && b.pieces == nil {
		return
	}
	b.pieces = nil
	b.reservation.Close(now)
	b.reservation = nil
}

// Bytes returns a body that was read with Limits.Whole.
func (b *Body) Bytes() []byte {
	if len(b.pieces) == 0 {
		return []byte{}
	}
	return b.pieces[0]
}

// join makes a body one piece. Until it has, it needs twice its length.
func (rd Reader) join(ctx context.Context, b *Body, kind membudget.Kind) *Error {
	if len(b.pieces) < 2 {
		return nil
	}
	if err := rd.reserve(ctx, b.reservation, b.length, kind); err != nil {
		return err
	}
	whole := make([]byte, 0, b.length)
	held := 0
	for _, piece := range b.pieces {
		whole = append(whole, piece...)
		held += cap(piece)
	}
	b.pieces = [][]byte{whole}
	b.reservation.Return(rd.Now(), held)
	return nil
}

// Reader reads bodies. Now must be set.
type Reader struct {
	Budget *membudget.Budget // nil for no bound
	Now    func() time.Time
	// OnRefused is called for each body that is not read, unless its connection broke. It may
	// be nil.
	OnRefused func(now time.Time, err *Error)
}

// Reserve returns a reservation of n bytes for a body that is not read by a Reader. The error
// is that of Extend.
func (rd Reader) Reserve(ctx context.Context, kind membudget.Kind, n int) (*membudget.Reservation, error) {
	if rd.Budget == nil {
		return nil, nil
	}
	r := rd.Budget.Open(rd.Now(), kind, nil)
	return r, rd.Extend(ctx, r, kind, n)
}

// Extend reserves n more bytes and waits for them as Read does. The error is an *Error, which
// OnRefused gets too.
func (rd Reader) Extend(ctx context.Context, r *membudget.Reservation, kind membudget.Kind, n int) error {
	if err := rd.reserve(ctx, r, n, kind); err != nil {
		return rd.refused(err)
	}
	return nil
}

// Refuse returns the error of a body for which the budget has no bytes now.
func (rd Reader) Refuse(kind membudget.Kind) error {
	return rd.refused(&Error{Reason: Exhausted, Kind: kind, Sums: rd.Budget.Describe()})
}

func (rd Reader) refused(err *Error) error {
	if rd.OnRefused != nil {
		rd.OnRefused(rd.Now(), err)
	}
	return err
}

// Limits bound one body.
type Limits struct {
	Kind     membudget.Kind
	MaxBytes int64     // 0 for no limit
	Deadline time.Time // by which it must be complete; zero for none
	Whole    bool      // the body is needed in one piece
}

// Read reads the body of a request. The error is an *Error; the response to the request must
// not be written yet.
func (rd Reader) Read(w http.ResponseWriter, r *http.Request, l Limits) (Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return Body{}, nil
	}
	control := http.NewResponseController(w)
	var b Body
	err := rd.read(&b, w, r, l, control)
	if err == nil {
		// Test recorders have no deadlines.
		_ = control.SetReadDeadline(time.Time{})
		return b, nil
	}
	b.Release(rd.Now())
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(past) // the server must not wait for the rest
	if rd.OnRefused != nil && err.Reason != Broken {
		rd.OnRefused(rd.Now(), err)
	}
	return Body{}, err
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

func (rd Reader) read(b *Body, w http.ResponseWriter, r *http.Request, l Limits, control *http.ResponseController) *Error {
	left := r.ContentLength // -1 if it is not known
	if l.MaxBytes > 0 && left > l.MaxBytes {
		return &Error{Reason: TooLong, Kind: l.Kind}
	}
	source := r.Body
	if l.MaxBytes > 0 && left < 0 {
		source = http.MaxBytesReader(w, r.Body, l.MaxBytes)
	}
	if !l.Deadline.IsZero() {
		_ = control.SetReadDeadline(l.Deadline)
	}
	b.reservation = rd.Budget.Open(rd.Now(), l.Kind, func() { _ = control.SetReadDeadline(past) })
	for size, ended := firstPiece, false; !ended; size = min(2*size, maxPiece) {
		whole := l.Whole && left > 0 && b.length > 0
		switch {
		case whole:
			size = int(r.ContentLength)
		case left > 0:
			size = int(min(int64(size), left))
		}
		if err := rd.reserve(r.Context(), b.reservation, size, l.Kind); err != nil {
			return err
		}
		piece := make([]byte, 0, size)
		if whole {
			first := b.pieces[0]
			piece = append(piece, first...)
			b.pieces, b.length, left = nil, 0, r.ContentLength
			b.reservation.Return(rd.Now(), cap(first))
		}
		for !ended && len(piece) < size {
			n, err := source.Read(piece[len(piece):size])
			piece = piece[:len(piece)+n]
			b.reservation.Progress(rd.Now(), n)
			if ended = errors.Is(err, io.EOF); err != nil && !ended {
				return rd.classify(b, l, err)
			}
		}
		if len(piece) > 0 {
			b.pieces = append(b.pieces, piece)
			b.length += len(piece)
			left -= int64(len(piece))
		}
	}
	if !b.reservation.Settle() {
		return rd.classify(b, l, os.ErrDeadlineExceeded)
	}
	if l.Whole {
		return rd.join(r.Context(), b, l.Kind)
	}
	return nil
}

// classify returns the error of a body that could not be read.
func (rd Reader) classify(b *Body, l Limits, err error) *Error {
	failed := &Error{Reason: Broken, Kind: l.Kind, Err: err}
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		failed.Reason = TooLong
	case !b.reservation.Settle():
		failed.Reason, failed.Sums = Stalled, rd.Budget.Describe()
	case errors.Is(err, os.ErrDeadlineExceeded):
		failed.Reason = Late
	}
	return failed
}

// reserve reserves n bytes, for which it waits up to maxWait.
func (rd Reader) reserve(ctx context.Context, res *membudget.Reservation, n int, kind membudget.Kind) *Error {
	granted := res.Reserve(rd.Now(), n)
	if granted == nil {
		return nil
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-granted:
			return nil
		case <-ticker.C:
			rd.Budget.EndStalled(rd.Now())
			continue
		case <-ctx.Done():
		case <-timer.C:
		}
		if !res.Withdraw() {
			return nil
		}
		return &Error{Reason: Exhausted, Kind: kind, Sums: rd.Budget.Describe(), Err: ctx.Err()}
	}
}
