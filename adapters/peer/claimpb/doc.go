// Package claimpb defines the messages and the twirp service for calls between a serving
// instance and the owner of a claim partition. It holds no state.
package claimpb

//go:generate env PATH=$HOME/go/bin:$PATH protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. claims.proto
