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
	// learnDelay is how long after its start an instance looks for peers that know
	// what the engines keep. All peers have reported by then.
	learnDelay = 400 * time.Millisecond
	// learnLater is how much longer it takes until relays have told of all peers.
	learnLater = 800 * time.Millisecond
	// olderBy is how much earlier a peer must have started to know more.
	olderBy = 3 * time.Second
	// keptParts bounds the parts that are handed on for one engine.
	keptParts   = 256
	pathPrompts = "/prompts"
	// promptsTime bounds a call to a peer.
	promptsTime = time.Second
)

// learn finds out what the engines keep after a restart: from a peer that ran
// before, or from the engines, each of which one instance asks.
func (p *peers) learn(ctx context.Context) {
	sleep(ctx, learnDelay)
	// Without the list of instances a large fleet looks like a small one.
	for ctx.Err() == nil && (!p.view.fresh() || !p.roster.HasListing()) {
		sleep(ctx, learnDelay/4)
	}
	if p.roster.IsLarge() {
		sleep(ctx, learnLater)
	}
	live := p.roster.Live(time.Now())
	for _, peer := range live {
		if peer.Incarnation+uint64(olderBy) > p.incarnation {
			continue
		}
		if p.learnFrom(peer) {
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
		// Relays know of each other first, and tell the others.
		relays := p.relay.others()
		if relays == nil {
			return
		}
		ids = append(slices.DeleteFunc(ids[1:], func(id fleet.InstanceID) bool { return !slices.Contains(relays, id) }), p.set.Instance)
	}
	var wg sync.WaitGroup
	for _, e := range p.board.Engines() {
		if !asks(e.ID, p.set.Instance, ids) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.ask(e)
		}()
	}
	wg.Wait()
}

// asks reports whether self is the one of several instances to ask an engine.
func asks(engine fleet.ServerID, self fleet.InstanceID, all []fleet.InstanceID) bool {
	key := fleet.HashID(string(engine))
	own := fleet.Mix(key, fleet.HashID(string(self)))
	for _, id := range all {
		if fleet.Mix(key, fleet.HashID(string(id))) > own {
			return false
		}
	}
	return true
}

func (p *peers) ask(e placement.Server) {
	parts, err := platform.KeptPrompts(e.Address)
	if err != nil {
		p.log.Warn("engine not asked what it keeps", zap.String(logging.FieldServer, string(e.ID)), zap.Error(err))
		return
	}
	for len(parts) > 0 {
		n := min(len(parts), keptParts)
		p.board.AddCached(e.ID, parts[:n])
		parts = parts[n:]
	}
}

func (p *peers) learnFrom(peer roster.Peer) bool {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+peer.Peer+pathPrompts, promptsTime)
	if err != nil || status != fasthttp.StatusOK {
		p.log.Warn("prompts not read from a peer", zap.String("peer", string(peer.ID)), zap.Int("status", status), zap.Error(err))
		return false
	}
	r, err := gossip.Unmarshal(body)
	if err != nil {
		p.log.Warn("prompts of a peer cannot be read", zap.String("peer", string(peer.ID)), zap.Error(err))
		return false
	}
	for _, placed := range r.Placed {
		p.board.AddPeerPlacement(placed.Server, placed.Parts)
	}
	p.log.Info("prompts learned from a peer", zap.String("peer", string(peer.ID)), zap.Int("engines", len(r.Placed)))
	return true
}

// servePrompts answers peers that have just started.
func (p *peers) servePrompts(ctx *fasthttp.RequestCtx) {
	b, err := gossip.Marshal(&gossip.Report{Placed: p.board.CachedParts(keptParts)})
	if err != nil {
		p.log.Error("prompts not encoded", zap.Error(err))
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

// servePeer answers calls of other instances.
func (p *peers) servePeer(feeds fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == pathPrompts {
			p.servePrompts(ctx)
			return
		}
		feeds(ctx)
	}
}
