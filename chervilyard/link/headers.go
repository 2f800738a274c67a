package link

import (
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/chervilyard/outbound"
	"chervilyard.example/yard/peer"
)

// toHeaders returns the headers of a call that its target gets.
func toHeaders(h http.Header) []*peer.Header {
	var list []*peer.Header
	for _, name := range outbound.Headers {
		for _, v := range h.Values(name) {
			list = append(list, &peer.Header{Name: name, Value: v})
		}
	}
	return list
}

// ToHeaders returns all headers as a message's.
func ToHeaders(h http.Header) []*peer.Header {
	var list []*peer.Header
	for name, values := range h {
		for _, v := range values {
			list = append(list, &peer.Header{Name: name, Value: v})
		}
	}
	return list
}

// isDial reports whether gRPC's message is of a connection that was not made.
func isDial(message string) bool {
	return strings.Contains(message, "connection error: desc = \"transport: Error while dialing")
}

func (l *Link) count(kind string, m any) {
	if l.Sent == nil {
		return
	}
	if pm, ok := m.(proto.Message); ok {
		l.Sent(kind, proto.Size(pm))
	}
}
