// Package fleet holds the messages that instances exchange about their state,
// generated from fleet.proto by protoc with protoc-gen-go and protoc-gen-go-grpc.
package fleet
