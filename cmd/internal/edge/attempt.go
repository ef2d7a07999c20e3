package edge

import (
	"errors"
	"net"
	"syscall"

	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/verdict"
)

// placementOutcome returns what the end of an attempt indicates about the server.
func placementOutcome(err error) placement.Outcome {
	e := result.As(err)
	if e == nil {
		return placement.Ended
	}
	a := verdict.Of(e)
	a.HostSilent = isHostSilent(e)
	return verdict.Judge(a).Server
}

// isConnectionEnd reports whether the attempt ended with its connection.
func isConnectionEnd(err error) bool {
	switch result.As(err).Code {
	case result.ConnectionLost, result.AnswerTruncated, result.ConnectionSilent:
		return true
	}
	return false
}

// isHostSilent reports whether nothing was received from the server's host: a connect timed
// out, or sent data stayed unacknowledged.
func isHostSilent(e *result.Error) bool {
	var ne net.Error
	return errors.Is(e, syscall.ETIMEDOUT) || e.Code == result.ConnectFailed && errors.As(e, &ne) && ne.Timeout()
}
