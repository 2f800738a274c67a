package peerclient

import (
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"chervilyard.example/chervilyard/targetclient"
	"chervilyard.example/yard/peer"
)

// targetHeadersToProto converts the headers that are passed on to a target; see
// targetclient.ForwardedHeaders.
func targetHeadersToProto(h http.Header) []*peer.Header {
	var converted []*peer.Header
	for _, name := range targetclient.ForwardedHeaders {
		for _, v := range h.Values(name) {
			converted = append(converted, &peer.Header{Name: name, Value: v})
		}
	}
	return converted
}

// HeadersToProto converts all headers to their message form, in no particular order
// of names.
func HeadersToProto(h http.Header) []*peer.Header {
	var converted []*peer.Header
	for name, values := range h {
		for _, v := range values {
			converted = append(converted, &peer.Header{Name: name, Value: v})
		}
	}
	return converted
}

// isDialError reports whether the gRPC status message says that the connection
// could not be established.
func isDialError(message string) bool {
	return strings.Contains(message, "connection error: desc = \"transport: Error while dialing")
}

// countSent reports the kind and the encoded size of an outgoing message to OnSend.
func (cl *Client) countSent(kind string, m any) {
	if cl.OnSend == nil {
		return
	}
	if message, ok := m.(proto.Message); ok {
		cl.OnSend(kind, proto.Size(message))
	}
}
