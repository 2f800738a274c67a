package head_test

import (
	"errors"
	"net/http"
	"testing"

	"chervilyard.example/yard/head"
)

func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		status int
		name   string
		want   string // error; "" for none
	}{
		{100, "A", ""}, {200, "!#$%&'*+-.^_`|~09azAZ", ""}, {599, "A", ""}, {999, "A", ""},
		{-1, "A", "malformed response: invalid status code -1"},
		{0, "A", "malformed response: invalid status code 0"},
		{99, "A", "malformed response: invalid status code 99"},
		{200, "", `malformed response: invalid field name ""`},
		{200, "A ", `malformed response: invalid field name "A "`},
		{200, " A", `malformed response: invalid field name " A"`},
		{200, "A\tB", `malformed response: invalid field name "A\tB"`},
		{200, "A\x00", `malformed response: invalid field name "A\x00"`},
		{200, "A:", `malformed response: invalid field name "A:"`},
		{200, "Ä", `malformed response: invalid field name "Ä"`},
	} {
		err := head.Check(tc.status, http.Header{"B": nil, tc.name: nil})
		var malformed *head.MalformedError
		if got := errors.As(err, &malformed); got != (tc.want != "") || got && err.Error() != tc.want {
			t.Errorf("%d %q: got %v, want %q", tc.status, tc.name, err, tc.want)
		}
	}
}
