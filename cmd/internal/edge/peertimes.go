package edge

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/httpcall"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/servicetime"
)

const (
	pathTimes = "/times"
	// maxTimesPeers limits the peers that are asked for their request times.
	maxTimesPeers = 8
	// timesTimeout limits a call to a peer. Requests that arrive before the answer are judged
	// by the times of this instance only.
	timesTimeout = 300 * time.Millisecond
	// maxTimesBytes limits the answer of a peer. A kind takes 1 KB and more.
	maxTimesBytes = 4 << 20
)

var timesCalls = httpcall.NewForPeers(maxTimesBytes, timesTimeout)

// learnTimes adds the request times that peers recorded. An instance that has just started, or
// that gets few requests of a kind, knows little about long ones.
func (p *peers) learnTimes(t *servicetime.Tracker) {
	live := p.roster.Live(time.Now())
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, peer := range live[:min(len(live), maxTimesPeers)] {
		go p.learnTimesFrom(peer, t)
	}
}

func (p *peers) learnTimesFrom(peer roster.Peer, t *servicetime.Tracker) {
	status, body, err := timesCalls.Get("http://"+peer.Peer+pathTimes, timesTimeout)
	var kinds []servicetime.KindCounts
	if err == nil && status == fasthttp.StatusOK {
		err = json.Unmarshal(body, &kinds)
	}
	if err != nil || status != fasthttp.StatusOK {
		p.log.Warn("cannot read request times from a peer", zap.String("peer", string(peer.ID)), zap.Int("status", status), zap.Error(err))
		return
	}
	t.AddPeer(time.Now(), kinds)
	p.log.Info("request times read from a peer", zap.String("peer", string(peer.ID)), zap.Int("kinds", len(kinds)))
}

// serveTimes sends the request times that this instance recorded.
func (p *peers) serveTimes(ctx *fasthttp.RequestCtx) {
	b, err := json.Marshal(p.times.Export(time.Now()))
	if err != nil {
		p.log.Error("cannot encode request times", zap.Error(err))
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(httpcall.PeerContentType)
	ctx.SetBody(b)
}
