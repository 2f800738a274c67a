// Package peer holds the messages between instances and their gRPC service,
// generated from peer.proto by protoc with protoc-gen-go and protoc-gen-go-grpc.
package peer
