// Package fleet holds the messages that instances exchange about their state and
// what they read from the store, and the gRPC service that carries them, generated
// from fleet.proto by protoc with protoc-gen-go and protoc-gen-go-grpc.
package fleet
