// Package permitpb defines the messages and the twirp service for calls between serving
// instances and admitters. It holds no state.
package permitpb

//go:generate protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. permit.proto
