package edge

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

// noticeBoard passes what servers announce in their responses to the placement.
type noticeBoard struct {
	board *placement.Balancer
	log   *zap.Logger

	mu sync.Mutex
	// invalid holds the servers whose invalid pause has been logged.
	invalid map[fleet.ServerID]bool
}

// maxInvalidLogged limits the servers whose invalid pause is logged once.
const maxInvalidLogged = 1024

func (b *noticeBoard) apply(n engine.Notice) {
	now := time.Now()
	if n.Leaving {
		b.leaving(now, n)
	}
	if n.Pause > 0 {
		if until := now.Add(n.Pause); b.board.NotePause(n.Server, until) {
			b.log.Info("server asked for a pause", zap.String(logging.FieldRequest, n.RequestID), zap.String(logging.FieldServer, string(n.Server)),
				zap.String(logging.FieldPool, string(n.Pool)), zap.Duration("pause", n.Pause), zap.Time("until", until))
		}
	}
	if n.InvalidPause != "" && b.firstInvalid(n.Server) {
		b.log.Warn("server asked for an invalid pause", zap.String(logging.FieldRequest, n.RequestID), zap.String(logging.FieldServer, string(n.Server)),
			zap.String("value", n.InvalidPause), zap.Duration("used", n.Pause))
	}
}

func (b *noticeBoard) leaving(now time.Time, n engine.Notice) {
	servers := []fleet.ServerID{n.Server}
	if n.Misdirected {
		servers = b.board.NoteLeavingAt(now, n.Address, n.Server)
	} else if !b.board.NoteLeaving(now, n.Server) {
		return
	}
	for _, id := range servers {
		b.log.Info("server announced its leaving", zap.String(logging.FieldRequest, n.RequestID), zap.String(logging.FieldServer, string(id)),
			zap.String(logging.FieldPool, string(n.Pool)), zap.String(logging.FieldReason, "until it starts again or the list shows that it stays"))
	}
}

// firstInvalid reports whether the server's invalid pause has not been logged yet.
func (b *noticeBoard) firstInvalid(id fleet.ServerID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.invalid[id] || len(b.invalid) >= maxInvalidLogged {
		return false
	}
	if b.invalid == nil {
		b.invalid = map[fleet.ServerID]bool{}
	}
	b.invalid[id] = true
	return true
}
