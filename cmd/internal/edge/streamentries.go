package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/store"
	"cyclamenhitch/core/streamorigin"
	"cyclamenhitch/platform"
)

const (
	// entryRetryDelay is how long a take-up waits for a confirmation of the server entries
	// after a read, until it has them read again.
	entryRetryDelay = 200 * time.Millisecond
	// refreshTime limits a confirmation for a peer, which waits 400 ms for the answer.
	refreshTime = 300 * time.Millisecond
	// maxViewPeers limits the peers that are asked for the versions that they know.
	maxViewPeers = 8
	// streamVersionsTable is the name under which the feed serves the versions of servers that
	// an instance knows, in one row.
	streamVersionsTable = "stream-versions"
)

// streamEntries confirms the entries of the servers for take-ups, and learns what peers know of
// the versions while the store cannot be read.
type streamEntries struct {
	// copy tells as of when the followed table of the servers is complete.
	copy         freshness.Copy
	reads, peers sharedReads

	mu sync.Mutex
	// confirmed is closed at the next confirmation.
	confirmed chan struct{}
	// asked and views are of the last time that peers were asked.
	asked int
	views []streamorigin.PeerView
}

// next returns a channel that is closed at the next confirmation.
func (s *streamEntries) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed == nil {
		s.confirmed = make(chan struct{})
	}
	return s.confirmed
}

// confirm states that the servers are complete as of a read that began at readStart.
func (o *streamOrigins) confirm(readStart freshness.Instant) {
	if o == nil {
		return
	}
	o.tracker.Confirm(o.start.Add(readStart - o.startBoot))
	s := &o.entries
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed != nil {
		close(s.confirmed)
		s.confirmed = nil
	}
}

// applied states that the servers are complete up to a version of their table.
func (o *streamOrigins) applied(at store.Version) {
	if o == nil {
		return
	}
	if start, proven := o.entries.copy.Applied(at); proven {
		o.confirmCopy(start)
	}
}

// confirmCopy states that the copy of the servers is complete as of start.
func (o *streamOrigins) confirmCopy(start freshness.Instant) {
	o.view.tableOf(platform.ServerTable).confirm(start)
	o.confirm(start)
}

// readEntries reads which changes of the servers the instance still lacks. The follower of the
// table takes them over.
func (o *streamOrigins) readEntries() (size int, ok bool) {
	at, known := o.entries.copy.Version()
	if !known {
		return 0, false
	}
	src := tableSource{Reader: o.view.store, direct: true}
	if o.view.peers.roster.IsLarge() {
		src = o.view.tableSource(o.view.tableOf(platform.ServerTable))
	}
	rows, start, err := src.newestChanges(platform.ServerTable, at)
	if err != nil && clock.SinceBoot()-start < quickFailure {
		rows, start, err = src.newestChanges(platform.ServerTable, at)
	}
	if err != nil {
		o.meters.streamStore.Add("entry_reads_failed", 1)
		o.log.Info("cannot confirm the entries of servers", zap.String("peer", string(src.peer)), zap.Error(err))
		return 0, false
	}
	o.meters.streamStore.Add("entry_reads", 1)
	for _, row := range rows {
		at.Number = max(at.Number, row.Version)
		size += len(row.Value)
	}
	if start, proven := o.entries.copy.Prove(at, start); proven {
		o.confirmCopy(start)
	}
	return size, true
}

// newestChanges reads the changes of a table after a version without waiting for one. It returns
// the start of the read of the store that shows them.
func (s *tableSource) newestChanges(name string, after store.Version) (rows []store.Entry, start freshness.Instant, err error) {
	start = clock.SinceBoot()
	if s.direct {
		rows, _, err = s.Changes(context.Background(), name, after, 0)
		return rows, start, err
	}
	if rows, _, err = s.client.FreshChanges(name, after); err == nil {
		start = freshness.PeerReadStart(start, s.client.Age)
	}
	return rows, start, err
}

// refresh confirms the copy of the servers for a peer, if this instance reads them from the
// store.
func (o *streamOrigins) refresh(name string) {
	if name != platform.ServerTable || !o.view.tableSource(o.view.tableOf(name)).direct {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), refreshTime)
	defer cancel()
	o.awaitEntries(ctx, o.now(), func(context.Context) bool { return false })
}

// awaitEntries waits until the entries are known as of arrived or later, or until ctx ends. It
// returns early, with true, if a read fails and giveUp then returns true.
func (o *streamOrigins) awaitEntries(ctx context.Context, arrived time.Time, giveUp func(context.Context) bool) bool {
	var read chan bool // of the read that this call waits for
	retry := time.After(0)
	for {
		next := o.entries.next()
		if o.tracker.ConfirmedSince(arrived) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-next:
		case <-retry:
			read, retry = make(chan bool, 1), nil
			go func(done chan<- bool) { done <- o.entries.reads.wait(ctx) }(read)
		case ok := <-read:
			read, retry = nil, time.After(entryRetryDelay)
			if !ok && ctx.Err() == nil && giveUp(ctx) {
				return true
			}
		}
	}
}

// noneNewer asks peers whether the store answers nobody and none knows another version.
func (o *streamOrigins) noneNewer(ctx context.Context, pool fleet.PoolID) bool {
	r := o.view.peers.roster
	own := o.tracker.Versions(o.now())[pool]
	if len(own) != 1 || !r.HasListing() || !o.entries.peers.wait(ctx) {
		return false
	}
	live := len(r.Live(time.Now()))
	s := &o.entries
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamorigin.NoneNewer(pool, own[0], max(len(r.Listed()), live+1), live, s.asked, s.views)
}

// askPeers asks peers for the versions that they know: those that read the store for others,
// whatever they reach now, and any further ones.
func (o *streamOrigins) askPeers() (size int, ok bool) {
	p := o.view.peers
	asked := p.roster.WouldBeReaders(time.Now(), p.self())
	live := p.roster.Live(time.Now())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, peer := range live {
		if len(asked) < maxViewPeers && !slices.ContainsFunc(asked, func(other roster.Peer) bool { return other.ID == peer.ID }) {
			asked = append(asked, peer)
		}
	}
	answers := make(chan *streamorigin.PeerView, len(asked))
	for _, peer := range asked {
		go func() { answers <- o.askPeer(peer) }()
	}
	var views []streamorigin.PeerView
	for range asked {
		if v := <-answers; v != nil {
			views = append(views, *v)
		}
	}
	s := &o.entries
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked, s.views = len(asked), views
	return 0, true
}

func (o *streamOrigins) askPeer(peer roster.Peer) *streamorigin.PeerView {
	rows, _, err := o.view.feeds.NewClient(peer.Peer).Snapshot(context.Background(), streamVersionsTable)
	var v streamorigin.PeerView
	if err == nil && len(rows) == 1 {
		err = json.Unmarshal(rows[0].Value, &v)
	}
	if err != nil || len(rows) != 1 {
		o.log.Info("peer does not say which versions it knows", zap.String("peer", string(peer.ID)), zap.Error(err))
		return nil
	}
	return &v
}

// peerView returns the row of streamVersionsTable.
func (o *streamOrigins) peerView() []store.Entry {
	if o == nil {
		return nil
	}
	t := o.view.tableOf(platform.ServerTable)
	v := streamorigin.PeerView{ReadsStore: t != nil && t.isFresh(clock.SinceBoot()), Versions: o.tracker.Versions(o.now())}
	b, err := json.Marshal(v)
	if err != nil {
		o.log.Error("cannot encode the known versions", zap.Error(err))
		return nil
	}
	return []store.Entry{{Key: "view", Value: b}}
}
