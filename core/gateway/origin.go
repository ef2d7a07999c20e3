package gateway

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// Origin is the software version at which the stream of a request began. Servers of another
// version answer the same request with other events, so that only servers of this version may
// continue the stream.
type Origin struct {
	// Begun is set once the first event has arrived, in this response or in an earlier one.
	Begun bool
	// Known is set if Version is known.
	Known   bool
	Version string
	// Server sent the first event at the time At; empty if it came in an earlier response.
	Server fleet.ServerID
	At     time.Time
	// Source is how the version became known, for the log.
	Source OriginSource
}

// OriginSource is how the version at which a stream began became known.
type OriginSource string

// Sources of the version at which a stream began.
const (
	// OriginObserved means that the first event came in this response.
	OriginObserved OriginSource = "observed"
	// OriginLookedUp means that the caller named the stream.
	OriginLookedUp OriginSource = "looked_up"
	// OriginNotFound means that no instance is known to have begun the stream that the caller
	// named.
	OriginNotFound OriginSource = "not_found"
	// OriginChanged means that the server of the first event may have started again with
	// another version, so that the version is unknown.
	OriginChanged OriginSource = "changed"
)

// VerifyServer is called once a server has begun to continue a stream. It returns an error if
// the server may have started again with another version since it was selected.
func (r *Request) VerifyServer() error {
	if r.CheckServer == nil {
		return nil
	}
	if e := r.CheckServer(); e != nil {
		return e
	}
	return nil
}
