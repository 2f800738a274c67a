// Package retryafter parses how long a server asks its clients to wait.
package retryafter

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Max is the longest wait that Parse returns.
const Max = 10 * time.Minute

// ValueError is the error of a value that states no number of seconds.
type ValueError struct{ Value string }

// Error returns the value.
func (e *ValueError) Error() string {
	return "retryafter: " + strconv.Quote(e.Value) + " is no number of seconds"
}

// Parse parses the value of a Retry-After field in seconds, with or without a fraction, and
// reports whether the wait was reduced to Max. The error is a *ValueError; an HTTP date is
// one too, since the clocks may differ.
func Parse(value string) (d time.Duration, reduced bool, err error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil && !math.IsInf(seconds, 1) || math.IsNaN(seconds) || seconds < 0 {
		return 0, false, &ValueError{Value: value}
	}
	if seconds > Max.Seconds() {
		return Max, true, nil
	}
	return time.Duration(seconds * float64(time.Second)), false, nil
}
