// Package peer holds the messages between instances and the gRPC service that
// carries them, generated from peer.proto by protoc with protoc-gen-go and
// protoc-gen-go-grpc.
package peer
