package engine

import (
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// maxValidLength is the length in bytes above which no valid server declares a body, so that
// the server is at fault whatever the caller asked for.
const maxValidLength = 1 << 30

func errInvalidStatus(server fleet.ServerID, status int) *result.Error {
	return result.New(result.AnswerInvalid, "server %s answered status %03d, which is not valid", server, status)
}

func errInvalidLength(server fleet.ServerID, declared int) *result.Error {
	return result.New(result.AnswerInvalid, "server %s declares %d bytes", server, declared)
}
