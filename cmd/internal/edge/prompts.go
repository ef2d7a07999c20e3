package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/adapters/httpcall"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/tunnel"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/platform"
)

const (
	// learnPromptsDelay is how long after its start an instance looks again for peers that
	// know the engines' cache contents. All peers that live have reported by then.
	learnPromptsDelay = 400 * time.Millisecond
	// relayedReportsDelay is the additional delay until relays have reported all peers.
	relayedReportsDelay = 800 * time.Millisecond
	// minPeerLead is how much earlier a peer must have started to be used as a source.
	minPeerLead = 3 * time.Second
	// maxPartsPerEngine limits the cached prompt parts sent for one engine.
	maxPartsPerEngine = 256
	// maxPartsPerItem limits the parts of one reported placement, so that many of them can
	// be divided among several reports.
	maxPartsPerItem = 64
	pathPrompts     = "/prompts"
	// peerPromptsTimeout limits a call to a live peer.
	peerPromptsTimeout = time.Second
	// maxPeersAsked limits the peers that are asked at once. firstPeersTimeout limits the
	// calls right after the start: a listed peer may be down.
	maxPeersAsked     = 3
	firstPeersTimeout = 40 * time.Millisecond
	// viewPollInterval is the interval at which a starting instance looks whether it has
	// read the store.
	viewPollInterval = 5 * time.Millisecond
)

// learnPrompts loads the engines' cache contents after a restart: from a peer that knows
// them, or else from the engines, each of which is queried by one instance.
func (p *peers) learnPrompts(ctx context.Context) {
	defer p.promptsKnown.Store(true)
	// The size of the fleet is unknown before the instance list has been read.
	for ctx.Err() == nil && (!p.view.fresh() || !p.roster.HasListing()) {
		sleep(ctx, viewPollInterval)
	}
	listed := slices.Collect(maps.Keys(p.roster.Listed()))
	if !p.set.FirstStart {
		if p.learnPromptsFromListed() {
			return
		}
		// The whole fleet may have restarted. The list names its instances before their
		// reports arrive.
		p.askEngines(func(e fleet.ServerID) bool { return isAssigned(e, p.set.Instance, listed) })
		p.sendReports()
	}
	sleep(ctx, learnPromptsDelay)
	if p.roster.IsLarge() {
		sleep(ctx, relayedReportsDelay)
	}
	p.announceLearned() // for the instances that started after the first report
	live := p.roster.Live(time.Now())
	for _, peer := range live {
		if peer.Incarnation+uint64(minPeerLead) > p.incarnation.Value() {
			continue
		}
		if p.learnPromptsFrom(peer.ID, peer.Peer, peerPromptsTimeout) {
			return
		}
	}
	if p.set.FirstStart {
		return
	}
	p.askUnaskedEngines(live, listed)
	if !p.roster.IsLarge() {
		// Reports that were sent before this instance listened are lost.
		p.learnPromptsFromSome(addressesOf(live), maxPeersAsked, peerPromptsTimeout)
	}
}

// learnPromptsFromListed asks peers that are listed but may be down. In a large fleet it
// asks one: the answer has the caches of hundreds of engines.
func (p *peers) learnPromptsFromListed() bool {
	if p.roster.IsLarge() {
		return p.learnPromptsFromSome(p.roster.Listed(), 1, peerPromptsTimeout)
	}
	return p.learnPromptsFromSome(p.roster.Listed(), maxPeersAsked, firstPeersTimeout)
}

// addressesOf returns where the peers can be reached.
func addressesOf(live []roster.Peer) map[fleet.InstanceID]roster.Listing {
	out := make(map[fleet.InstanceID]roster.Listing, len(live))
	for _, peer := range live {
		out[peer.ID] = roster.Listing{Peer: peer.Peer, DataCentre: peer.DataCentre}
	}
	return out
}

// learnPromptsFromSome asks up to most of the peers at once, those of this data centre
// first. It reports whether one of them knows the cache contents of all engines.
func (p *peers) learnPromptsFromSome(listed map[fleet.InstanceID]roster.Listing, most int, timeout time.Duration) bool {
	delete(listed, p.set.Instance)
	ids := slices.Collect(maps.Keys(listed))
	key := fleet.HashID(string(p.set.Instance))
	slices.SortFunc(ids, func(a, b fleet.InstanceID) int {
		aFar, bFar := listed[a].DataCentre != p.set.DataCentre, listed[b].DataCentre != p.set.DataCentre
		if aFar != bFar {
			if aFar {
				return 1
			}
			return -1
		}
		return cmp.Compare(fleet.Mix(key, fleet.HashID(string(a))), fleet.Mix(key, fleet.HashID(string(b))))
	})
	ids = ids[:min(len(ids), most)]
	learned := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { learned <- p.learnPromptsFrom(id, listed[id].Peer, timeout) }()
	}
	for range ids {
		if <-learned {
			return true
		}
	}
	return false
}

// askUnaskedEngines asks the engines whose assigned instance does not live.
func (p *peers) askUnaskedEngines(live []roster.Peer, listed []fleet.InstanceID) {
	alive := []fleet.InstanceID{p.set.Instance}
	for _, peer := range live {
		alive = append(alive, peer.ID)
	}
	p.askEngines(func(e fleet.ServerID) bool { return takesOver(e, p.set.Instance, alive, listed) })
}

// askEngines loads the cache contents of the chosen engines from them.
func (p *peers) askEngines(chosen func(fleet.ServerID) bool) {
	var wg sync.WaitGroup
	for _, e := range p.board.Engines() {
		if !chosen(e.ID) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.askEngine(e)
		}()
	}
	wg.Wait()
	p.announceLearned()
}

// isAssigned reports whether self is the instance that queries an engine, by rendezvous
// hashing over all instances.
func isAssigned(engine fleet.ServerID, self fleet.InstanceID, all []fleet.InstanceID) bool {
	key := fleet.HashID(string(engine))
	own := fleet.Mix(key, fleet.HashID(string(self)))
	for _, id := range all {
		if fleet.Mix(key, fleet.HashID(string(id))) > own {
			return false
		}
	}
	return true
}

// takesOver reports whether self queries an engine because the listed instance that it is
// assigned to does not live.
func takesOver(engine fleet.ServerID, self fleet.InstanceID, alive, listed []fleet.InstanceID) bool {
	for _, id := range listed {
		if isAssigned(engine, id, listed) {
			return !slices.Contains(alive, id) && isAssigned(engine, self, alive)
		}
	}
	return isAssigned(engine, self, alive)
}

func (p *peers) askEngine(e placement.Server) {
	parts, err := platform.CachedPromptParts(e.Address)
	if err != nil {
		p.log.Warn("cannot query the cached prompts of an engine", zap.String(logging.FieldServer, string(e.ID)), zap.Error(err))
		return
	}
	p.mu.Lock()
	for len(parts) > 0 {
		n := min(len(parts), maxPartsPerItem)
		p.learned = append(p.learned, placement.Placement{Server: e.ID, Parts: parts[:n]})
		parts = parts[n:]
	}
	p.mu.Unlock()
}

// announceLearned adds the parts that this instance learned from engines to the board and
// to its next report.
func (p *peers) announceLearned() {
	p.mu.Lock()
	learned := slices.Clone(p.learned)
	p.mu.Unlock()
	for _, l := range learned {
		p.board.AddCached(time.Now(), l.Server, l.Parts)
	}
}

// maxPromptsBytes limits the cache contents that a peer sends. A part takes some 12 bytes.
const maxPromptsBytes = 8 << 20

// promptCalls reads the cache contents that peers know.
var promptCalls = httpcall.NewForPeers(maxPromptsBytes, peerPromptsTimeout)

// learnPromptsFrom loads the cache contents that a peer knows and reports whether the
// peer knows all of them.
func (p *peers) learnPromptsFrom(id fleet.InstanceID, address string, timeout time.Duration) bool {
	status, body, err := promptCalls.Get("http://"+address+pathPrompts, timeout)
	if err != nil || status != fasthttp.StatusOK && status != fasthttp.StatusPartialContent {
		p.log.Warn("cannot read cached prompts from a peer", zap.String("peer", string(id)), zap.Int("status", status), zap.Error(err))
		return false
	}
	r, err := gossip.Unmarshal(body)
	if err != nil {
		p.log.Warn("cannot decode the cached prompts of a peer", zap.String("peer", string(id)), zap.Error(err))
		return false
	}
	now := time.Now()
	for _, placed := range r.Placements {
		p.board.AddPeerCached(now, placed.Server, placed.Parts)
	}
	p.log.Info("cached prompts read from a peer", zap.String("peer", string(id)), zap.Int("engines", len(r.Placements)),
		zap.Bool("complete", status == fasthttp.StatusOK))
	return status == fasthttp.StatusOK
}

// servePrompts sends the known cache contents to a peer that has just started. The
// status tells whether this instance itself is still learning them.
func (p *peers) servePrompts(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(httpcall.PeerContentType)
	if !p.promptsKnown.Load() {
		ctx.SetStatusCode(fasthttp.StatusPartialContent)
	}
	b, err := gossip.Marshal(&gossip.Report{Placements: p.board.CachedParts(maxPartsPerEngine)})
	if err != nil {
		p.log.Error("cannot encode cached prompts", zap.Error(err))
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

// servePeer handles calls of other instances.
func (p *peers) servePeer(feeds, tunnels fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case pathPrompts:
			p.servePrompts(ctx)
		case pathTimes:
			p.serveTimes(ctx)
		case tunnel.Path:
			tunnels(ctx)
		default:
			feeds(ctx)
		}
	}
}
