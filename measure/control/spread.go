package control

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhitch/adapters/peer"
	"cyclamenhitch/adapters/peer/configpb"
	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/membership"
)

const (
	// connectionBytes is what TCP and IP headers add to a call and its answer on
	// a new connection: 8 segments with 52 bytes and 2 with SYN and 60 bytes.
	connectionBytes = 8*52 + 2*60
	// applyTime is the time to decode and index a body of 18,000 accounts, from
	// BenchmarkControlApply.
	applyTime = 200 * time.Millisecond
	// notifiedPeers is how many instances are notified after acceptance, as in the daemon.
	notifiedPeers = 4
)

// manifestText returns a manifest of the target size with n accounts. change
// sets the weight of one account.
func manifestText(n int, change uint64) []byte {
	var b strings.Builder
	b.WriteString("format = 1\n")
	for i := range 6 {
		fmt.Fprintf(&b, "[[data_centre]]\nname = \"dc-%d\"\nregion = \"region-%d\"\n", i, i/2)
	}
	for i := range 25 {
		fmt.Fprintf(&b, "[[pool]]\nname = \"pool-%d\"\n[pool.objectives]\nfirst_token_ms = 440\n", i)
	}
	for i := range 600 {
		fmt.Fprintf(&b, "[[server]]\nname = \"engine-%d\"\npool = \"pool-%d\"\ndata_centre = \"dc-%d\"\naddress = \"127.0.%d.%d:8000\"\n", i, i%25, i%6, i/250, i%250)
	}
	for i := range n {
		fmt.Fprintf(&b, "[[account]]\nname = \"account-%d\"\nkey_sha256 = [\"%064x\"]\n", i, i+1)
		if uint64(i) == change*7919%uint64(n) {
			fmt.Fprintf(&b, "weight = %d\n", 2+change)
		}
	}
	return []byte(b.String())
}

func body(accounts int, version uint64) configstate.Body {
	text := manifestText(accounts, version)
	return configstate.Body{Version: version, Sum: sha256.Sum256(text), Operator: "ana", Text: text}
}

// transferSizes answers how many bytes a transfer between two versions takes. The
// fleet shares one history, since 370 of them do not fit into one process.
type transferSizes struct {
	accounts int
	history  configstate.History
	sums     map[uint64][]byte
	sizes    map[[2]uint64]int
}

func newBodies(accounts int) *transferSizes {
	return &transferSizes{accounts: accounts, sums: map[uint64][]byte{}, sizes: map[[2]uint64]int{}}
}

// bytes is the size of the call and its answer; to must be the newest version.
func (b *transferSizes) bytes(from, to uint64) int {
	k := [2]uint64{from, to}
	if n, ok := b.sizes[k]; ok {
		return n
	}
	if b.history.Current().Version < to {
		next := body(b.accounts, to)
		b.history.Push(next)
		b.sums[to] = next.Sum[:]
	}
	req := &configpb.FetchRequest{Sha256: b.sums[from]}
	n := peer.CallBytes(configpb.ConfigPathPrefix+"Fetch", proto.Size(req)) +
		peer.AnswerBytes(proto.Size(configpb.BuildFetchResponse(&b.history, req))) + connectionBytes
	b.sizes[k] = n
	return n
}

// runConfigActions carries out the actions of a configuration state that are due.
func (s *sim) runConfigActions(nd *node) {
	life := nd.generation
	for _, a := range nd.config.Next(s.now, len(nd.detector.View().Members)) {
		switch a.Kind {
		case configstate.ActReadHead:
			s.reads++
			s.after(storeLatency, func() { s.headRead(nd, life) })
		case configstate.ActFetchPeer:
			s.fetch(nd, s.byAddr[a.Peer.Address])
		case configstate.ActFetchStore:
			version := a.Head.Version
			s.after(storeLatency, func() {
				if s.storeDown {
					nd.config.FetchDone(s.now, false)
					return
				}
				s.applyAfterDecode(nd, life, version)
			})
		}
	}
}

func (s *sim) headRead(nd *node, life int) {
	if !nd.up || nd.generation != life {
		return
	}
	var err error
	if s.storeDown {
		err = fmt.Errorf("store is down")
	}
	nd.config.HeadReadDone(s.now, configstate.Head{Version: s.headVersion}, err)
	s.runConfigActions(nd)
}

// fetch takes two round trips: one opens the connection.
func (s *sim) fetch(nd, from *node) {
	life := nd.generation
	s.after(2*s.delay()+2*s.delay(), func() {
		if !nd.up || nd.generation != life {
			return
		}
		if from == nil || !from.up || !s.reachable(nd, from) {
			nd.config.FetchDone(s.now, false)
			return
		}
		version := from.config.Version()
		n := int64(s.bodies.bytes(nd.config.Version(), version))
		nd.received += n
		from.sent += n
		s.applyAfterDecode(nd, life, version)
	})
}

// applyAfterDecode applies a fetched version after the time that decoding takes.
func (s *sim) applyAfterDecode(nd *node, life int, version uint64) {
	s.after(applyTime, func() {
		if !nd.up || nd.generation != life {
			return
		}
		s.apply(nd, version)
		nd.config.FetchDone(s.now, true)
		s.runConfigActions(nd)
	})
}

func (s *sim) apply(nd *node, version uint64) {
	if nd.config.Advance(s.now, version) {
		nd.inForce = s.now
		nd.detector.SetVersion(version)
	}
}

// acceptVersion makes the next version the head. The accepting instance notifies a few
// others directly, unless notify is off: then it crashed after the write and
// the version spreads from the first poll.
func (s *sim) acceptVersion(notify bool) {
	s.headVersion++
	version := s.headVersion
	s.bodies.bytes(version-1, version)
	if !notify {
		return
	}
	nd := s.nodes[s.rng.IntN(len(s.nodes))]
	life := nd.generation
	s.after(applyTime, func() {
		if !nd.up || nd.generation != life {
			return
		}
		s.apply(nd, version)
		for range min(notifiedPeers, len(s.nodes)-1) {
			to := s.nodes[s.rng.IntN(len(s.nodes))]
			s.after(2*s.delay(), func() {
				if to.up && s.reachable(nd, to) {
					to.config.HandleAnnouncement(configstate.Peer{ID: nd.member.ID, Address: nd.member.Peer}, version)
					s.runConfigActions(to)
				}
			})
		}
	})
}

// measureSpread accepts a version and returns the time until it is in force on every
// running instance, or limit.
func (s *sim) measureSpread(notify bool, limit time.Duration) time.Duration {
	start := s.now
	s.acceptVersion(notify)
	for s.now.Sub(start) < limit {
		s.run(membership.TickInterval)
		last, all := start, true
		for _, nd := range s.nodes {
			if nd.up && nd.config.Version() < s.headVersion {
				all = false
				break
			}
			if nd.up && nd.inForce.After(last) {
				last = nd.inForce
			}
		}
		if all {
			return last.Sub(start)
		}
	}
	return limit
}
