// Package head checks the heads of HTTP responses for what package net/http accepts although it
// does not follow RFC 9112.
package head

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// MalformedError is the error of a response whose head is malformed.
type MalformedError struct {
	Status    int
	FieldName string // the invalid name; not set if the status is invalid
}

// Error returns what is malformed.
func (e *MalformedError) Error() string {
	if e.Status < http.StatusContinue {
		return "malformed response: invalid status code " + strconv.Itoa(e.Status)
	}
	return "malformed response: invalid field name " + strconv.Quote(e.FieldName)
}

// Check returns a *MalformedError if the status is below 100 or the name of a field is not a
// token. Package net/textproto accepts blanks in names, so that a recipient may overlook a field
// that frames the body.
func Check(status int, h http.Header) error {
	if status < http.StatusContinue {
		return &MalformedError{Status: status}
	}
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{Status: status, FieldName: name}
		}
	}
	return nil
}
