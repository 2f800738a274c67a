package targetrate

import (
	"fmt"
	"strconv"
	"strings"
)

// maxLength is the length in bytes of the longest value that is read.
const maxLength = 32

// ValueError is the error of a value that names no limit.
type ValueError struct {
	Values []string // as received; long ones are cut off
	Reason string
}

// Error returns the values and the reason.
func (e *ValueError) Error() string { return fmt.Sprintf("limit %q: %s", e.Values, e.Reason) }

// Parse returns the limit, in requests per second, that the values of a header field name,
// and false if there are none. A limit is a decimal number without sign or exponent; if it is
// given more than once, all values must be equal. The error is a *ValueError.
func Parse(values []string) (float64, bool, error) {
	if len(values) == 0 {
		return 0, false, nil
	}
	fail := func(reason string) (float64, bool, error) {
		shown := make([]string, 0, 2)
		for _, v := range values[:min(len(values), 2)] {
			shown = append(shown, v[:min(len(v), maxLength)])
		}
		return 0, false, &ValueError{Values: shown, Reason: reason}
	}
	var limit float64
	for i, v := range values {
		v = strings.TrimSpace(v)
		if len(v) > maxLength {
			return fail("it is too long")
		}
		whole, fraction, hasPoint := strings.Cut(v, ".")
		if !isDigits(whole) || hasPoint && !isDigits(fraction) {
			return fail("it is no decimal number")
		}
		n, err := strconv.ParseFloat(v, 64)
		if err != nil {
			return fail(err.Error())
		}
		if i > 0 && n != limit {
			return fail("the values differ")
		}
		limit = n
	}
	return limit, true, nil
}

func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}
