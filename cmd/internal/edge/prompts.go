package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/platform"
)

const (
	// learnPromptsDelay is how long after its start an instance looks for peers that know
	// the engines' cache contents. All peers have reported by then.
	learnPromptsDelay = 400 * time.Millisecond
	// relayedReportsDelay is the additional delay until relays have reported all peers.
	relayedReportsDelay = 800 * time.Millisecond
	// minPeerLead is how much earlier a peer must have started to be used as a source.
	minPeerLead = 3 * time.Second
	// maxPartsPerEngine limits the cached prompt parts sent for one engine.
	maxPartsPerEngine = 256
	pathPrompts       = "/prompts"
	// peerPromptsTimeout limits a call to a peer.
	peerPromptsTimeout = time.Second
)

// learnPrompts loads the engines' cache contents after a restart: from a peer that has
// run for longer, or else from the engines, each of which is queried by one instance.
func (p *peers) learnPrompts(ctx context.Context) {
	sleep(ctx, learnPromptsDelay)
	// The size of the fleet is unknown before the instance list has been read.
	for ctx.Err() == nil && (!p.view.fresh() || !p.roster.HasListing()) {
		sleep(ctx, learnPromptsDelay/4)
	}
	if p.roster.IsLarge() {
		sleep(ctx, relayedReportsDelay)
	}
	live := p.roster.Live(time.Now())
	for _, peer := range live {
		if peer.Incarnation+uint64(minPeerLead) > p.incarnation {
			continue
		}
		if p.learnPromptsFrom(peer) {
			return
		}
	}
	if p.set.FirstStart {
		return
	}
	ids := []fleet.InstanceID{p.set.Instance}
	for _, peer := range live {
		ids = append(ids, peer.ID)
	}
	if p.roster.IsLarge() {
		// Only relays query engines, because they know each other first; they inform the
		// other instances.
		relays := p.relay.otherRelays()
		if relays == nil {
			return
		}
		ids = append(slices.DeleteFunc(ids[1:], func(id fleet.InstanceID) bool { return !slices.Contains(relays, id) }), p.set.Instance)
	}
	var wg sync.WaitGroup
	for _, e := range p.board.Engines() {
		if !isAssigned(e.ID, p.set.Instance, ids) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.askEngine(e)
		}()
	}
	wg.Wait()
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

func (p *peers) askEngine(e placement.Server) {
	parts, err := platform.CachedPromptParts(e.Address)
	if err != nil {
		p.log.Warn("cannot query the cached prompts of an engine", zap.String(logging.FieldServer, string(e.ID)), zap.Error(err))
		return
	}
	for len(parts) > 0 {
		n := min(len(parts), maxPartsPerEngine)
		p.board.AddCached(e.ID, parts[:n])
		parts = parts[n:]
	}
}

func (p *peers) learnPromptsFrom(peer roster.Peer) bool {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+peer.Peer+pathPrompts, peerPromptsTimeout)
	if err != nil || status != fasthttp.StatusOK {
		p.log.Warn("cannot read cached prompts from a peer", zap.String("peer", string(peer.ID)), zap.Int("status", status), zap.Error(err))
		return false
	}
	r, err := gossip.Unmarshal(body)
	if err != nil {
		p.log.Warn("cannot decode the cached prompts of a peer", zap.String("peer", string(peer.ID)), zap.Error(err))
		return false
	}
	for _, placed := range r.Placements {
		p.board.AddPeerPlacement(placed.Server, placed.Parts)
	}
	p.log.Info("cached prompts read from a peer", zap.String("peer", string(peer.ID)), zap.Int("engines", len(r.Placements)))
	return true
}

// servePrompts sends the known cache contents to a peer that has just started.
func (p *peers) servePrompts(ctx *fasthttp.RequestCtx) {
	b, err := gossip.Marshal(&gossip.Report{Placements: p.board.CachedParts(maxPartsPerEngine)})
	if err != nil {
		p.log.Error("cannot encode cached prompts", zap.Error(err))
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

// servePeer handles calls of other instances.
func (p *peers) servePeer(feeds fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == pathPrompts {
			p.servePrompts(ctx)
			return
		}
		feeds(ctx)
	}
}
