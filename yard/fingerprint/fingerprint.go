// Package fingerprint names requests by their content, so that a request that comes again
// under another ID is recognized.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// prefix begins the names of requests, and no name of a service.
const prefix = "request="

// digestBytes is how much of the SHA-256 digest is part of a name.
const digestBytes = 16

// Request is what makes two requests the same. Header fields do not count: the ID and the
// deadline differ each time.
type Request struct {
	Service  string
	Method   string
	Host     string
	Target   string // path and query, as received
	Customer string // "" on public routes
	Body     []byte
	Pieces   [][]byte // follow Body
}

// Shape returns the name of all requests that differ in their bodies only, and not in the
// length of these. It costs much less than Name.
func (r Request) Shape() string {
	var h xxhash.Digest
	h.Reset()
	for _, field := range r.fields() {
		_, _ = h.WriteString(field) // never fails
		_, _ = h.WriteString("\x00")
	}
	return prefix + r.Service + "/" + strconv.FormatUint(h.Sum64(), 16)
}

// Name returns the name of the request. It begins with that of its shape.
func (r Request) Name() string { return r.Shape() + "/" + r.Digest() }

// Digest returns a digest of all that identifies the request.
func (r Request) Digest() string {
	h := sha256.New()
	var length [8]byte
	for _, field := range r.fields() {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(r.Body)
	for _, piece := range r.Pieces {
		_, _ = h.Write(piece)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

func (r Request) fields() []string {
	length := len(r.Body)
	for _, piece := range r.Pieces {
		length += len(piece)
	}
	return []string{r.Service, r.Method, r.Host, r.Target, r.Customer, strconv.Itoa(length)}
}

// ShapeOf returns the shape in the name of a request, and false if it is not the name of one.
func ShapeOf(name string) (string, bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 || !strings.HasPrefix(name, prefix) {
		return "", false
	}
	return name[:i], true
}
