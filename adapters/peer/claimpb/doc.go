// Package claimpb defines the calls between a serving instance and the owner of
// a claim partition. It holds generated code and no state.
package claimpb

//go:generate env PATH=$HOME/go/bin:$PATH protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. claims.proto
