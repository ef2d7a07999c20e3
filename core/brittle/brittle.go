// Package brittle decides whether an instance may send a request to a server that falls over
// when it has to turn away more than a stated number of requests within one second. Many
// instances send to such a server without a coordinator and know each other's requests from
// reports that are some hundred ms old. The state belongs to the placement of one instance,
// which guards it. The package performs no I/O and reads no clock.
package brittle

import (
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// TurnTime is the time for which free places are offered to the same instances. It is the
	// greatest age of a report, from the sending of a request to its effect at a peer, for
	// which no place is offered twice.
	TurnTime = 700 * time.Millisecond
	// turnParts is the number of turns over which the free places are offered: the claims of
	// the turn before may not have been reported yet.
	turnParts = 2
	// holdTime is the least time for which a place stays with its instance after a request. It
	// allows a waiting request to follow, and reports include the place meanwhile.
	holdTime = 400 * time.Millisecond
	// leaseTime is how long an instance keeps its places at a server with fewer slots than
	// there are instances; without a bound the callers of the others would get none.
	leaseTime = 8 * time.Second
	// HoldBackTime is how long an instance sends nothing to a server that refused a request;
	// the servers count refusals over one second.
	HoldBackTime = time.Second
	// shareFactor scales the share of the instance at a server that refused a request;
	// shareRecovery is the increase per second.
	shareFactor   = 0.5
	shareRecovery = 0.1
	minShare      = 0.1
	// claimGap is the least time between two claims of one instance, in which a refusal of the
	// first one arrives.
	claimGap = 30 * time.Millisecond
	// riskPart is the divisor of the stated number of refusals that gives how many places are
	// offered beyond the free ones in one turn if these are fewer than the instances.
	riskPart = 4
)

// Room is what an instance knows of the room at a server.
type Room struct {
	// Slots is the number of requests that the server runs at once, without its queue.
	Slots int
	// Own and Others are the numbers of requests of this instance and of all others.
	Own, Others int
	// Idle is set if this instance has no request at any server of the pool, and none was
	// turned away within HoldBackTime.
	Idle bool
	// Limit is the number of refusals within one second that the server stated.
	Limit int
}

// Server is the share of this instance at one brittle server.
//
// Invariant: with reports no older than TurnTime and clocks that differ by less than TurnTime
// minus that age, the claims of all instances that no report shows yet are at most the free
// slots plus 2/riskPart of the stated refusals.
type Server struct {
	hash uint64
	// most and mostBefore are the greatest numbers of own requests in the present and the
	// previous span of holdTime.
	most, mostBefore int
	spanStart        time.Time
	leaseEnd         time.Time
	// claims and claimsBefore are the places claimed in turn and in the turn before.
	turn                 int64
	claims, claimsBefore int
	claimedAt            time.Time
	refusedAt            time.Time
	shareThen            float64
	stated               statedLoad
}

// statedLoad is what the server said of its load.
type statedLoad struct {
	others, slots int
	at            time.Time
}

// NewServer returns the state of a server with the given hash and number of own requests.
func NewServer(now time.Time, hash uint64, own int) *Server {
	return &Server{hash: hash, most: own, mostBefore: own, spanStart: now, leaseEnd: now.Add(leaseTime)}
}

// Held returns the places that this instance holds: those of its requests and of those that
// ended within holdTime.
func (s *Server) Held(now time.Time, own int) int {
	if age := now.Sub(s.spanStart); age >= 2*holdTime {
		s.most, s.mostBefore, s.spanStart = own, own, now
	} else if age >= holdTime {
		s.mostBefore, s.most, s.spanStart = s.most, own, now
	}
	s.most = max(s.most, own)
	return max(s.most, s.mostBefore)
}

// holdOnly gives up the places that no request uses.
func (s *Server) holdOnly(own int) { s.most, s.mostBefore = own, own }

// Stated records the load that the server stated: the requests there besides the own ones,
// and its slots, each negative if unknown.
func (s *Server) Stated(now time.Time, others, slots int) {
	s.stated = statedLoad{others, slots, now}
}

// correct corrects what is known of the room by what the server stated within TurnTime.
func (s *Server) correct(now time.Time, r *Room) {
	if s.stated.slots > 0 && (r.Slots <= 0 || s.stated.slots < r.Slots) {
		r.Slots = s.stated.slots
	}
	r.Slots = max(1, r.Slots)
	if now.Sub(s.stated.at) < TurnTime {
		r.Others = max(r.Others, s.stated.others)
	}
}

// MayTake reports whether this instance may send a request now.
func (s *Server) MayTake(now time.Time, f *Fleet, r Room) bool {
	if now.Sub(s.refusedAt) < HoldBackTime {
		return false
	}
	s.correct(now, &r)
	if !f.Fresh(now) {
		s.holdOnly(r.Own)
		return r.Idle && r.Others < r.Slots
	}
	s.startTurn(now)
	if held := s.Held(now, r.Own); r.Own < held && s.keepsPlace(now, f, &r, held) {
		return true
	}
	return now.Sub(s.claimedAt) >= claimGap && s.claims < s.allowance(now, f, &r)
}

// keepsPlace reports whether one of the places that the instance holds may be used again.
func (s *Server) keepsPlace(now time.Time, f *Fleet, r *Room, held int) bool {
	if f.instances > r.Slots && now.After(s.leaseEnd) {
		s.holdOnly(r.Own)
		return false
	}
	// Of the places held beyond the slots, each instance gives up its part.
	total := held + r.Others
	excess := total - r.Slots
	if excess <= 0 {
		return true
	}
	part := held * excess
	giveUp := part / total
	if int(fleet.Mix(s.hash^uint64(f.index), uint64(s.turn))%uint64(total)) < part%total {
		giveUp++
	}
	return r.Own < held-giveUp
}

// startTurn moves the counts of claims to the turn of now.
func (s *Server) startTurn(now time.Time) {
	switch turn := now.UnixNano() / int64(TurnTime); {
	case turn == s.turn:
	case turn == s.turn+1:
		s.turn, s.claims, s.claimsBefore = turn, 0, s.claims
	default:
		s.turn, s.claims, s.claimsBefore = turn, 0, 0
	}
}

// allowance is the number of places that this instance may claim in the present turn.
func (s *Server) allowance(now time.Time, f *Fleet, r *Room) int {
	// Others do not know of the latest claims and offer these places, too.
	known := max(0, s.Held(now, r.Own)-s.claims-s.claimsBefore)
	free := r.Slots - r.Others - known
	if free <= 0 {
		return 0
	}
	free = int(float64(free)*s.share(now) + 0.5)
	offer := (free + int((uint64(s.turn)+s.hash)%turnParts)) / turnParts
	n := f.instances
	if offer < n {
		// Some instances get none although most of the offered places remain unused.
		offer = min(n, offer+min(offer, r.Limit/riskPart))
	}
	rank := int((uint64(f.index) + fleet.Mix(s.hash, uint64(s.turn))) % uint64(n))
	out := offer / n
	if rank < offer%n {
		out++
	}
	return out
}

// share is the part of its allowance that the instance uses.
func (s *Server) share(now time.Time) float64 {
	if s.refusedAt.IsZero() {
		return 1
	}
	return min(1, s.shareThen+shareRecovery*now.Sub(s.refusedAt).Seconds())
}

// Took records that a request is sent; own is the number of requests without it.
func (s *Server) Took(now time.Time, own int) {
	if own >= s.Held(now, own) {
		s.startTurn(now)
		s.claims++
		s.claimedAt = now
		s.leaseEnd = now.Add(leaseTime)
	}
	s.Held(now, own+1)
}

// Refused records that the server turned a request away; own is the number of the others.
func (s *Server) Refused(now time.Time, own int) {
	s.shareThen = max(minShare, shareFactor*s.share(now))
	s.refusedAt = now
	s.holdOnly(own)
}
