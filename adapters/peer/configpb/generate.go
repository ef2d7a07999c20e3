// Package configpb defines the messages and the twirp service that transfer
// configurations between instances. It holds no state.
package configpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative config.proto
