package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// runPrompts runs n prompts on an idle pool whose engines process rate(i) tokens per ms.
func runPrompts(b *Balancer, now time.Time, n int, rate func(i int) float64) time.Time {
	for i := range n {
		tokens := 200 + i*2657%9000
		req := &Request{Parts: []Part{{uint64(now.UnixNano()), tokens}}, PromptTokens: tokens, Objective: time.Second, Key: uint64(i)}
		ranked, _ := b.Rank(now, "p", req, nil)
		t := b.Reserve(now, "p", ranked[0], req)
		now = now.Add(70*time.Millisecond + time.Duration(float64(tokens)/rate(i)*float64(time.Millisecond)))
		t.OnFirstOutput(now)
		t.Release(now, Ended)
	}
	return now
}

// Guards against waits estimated with the speed of other engines: the read rate of a
// pool is learned for any rate, although unknown queues delay some answers and
// prompts cached without this instance's knowledge speed up others.
func TestReadRateIsLearned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.Float64Range(5, 500).Draw(t, "tokens a ms")
		off := rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1, 1, 1, 1, 1, 0.2, 4}), 80, 80).Draw(t, "off")
		wrong := 0
		for _, x := range off {
			if x != 1 {
				wrong++
			}
		}
		b := NewBalancer(DefaultPolicy())
		b.SetServers("p", engines(9))
		runPrompts(b, epoch, len(off), func(i int) float64 { return want * off[i] })
		got := b.Summary(epoch)["p"].TokensPerMilli
		if wrong < len(off)/3 && math.Abs(got/want-1) > 0.1 {
			t.Fatalf("%.1f tokens a ms learned, want %.1f with %d of %d answers that mislead", got, want, wrong, len(off))
		}
	})
}

// Guards against a restarted instance without an estimate of the engines' speed, and
// against a peer whose estimate outweighs those of the others.
func TestReadRateOfPeers(t *testing.T) {
	b := NewBalancer(DefaultPolicy())
	b.SetServers("p", engines(3))
	for i, rate := range []float64{110, 112, 5} {
		b.ApplyPeerReadRates(fleet.InstanceID(fmt.Sprint("i", i)), map[fleet.PoolID]float64{"p": rate, "unknown": 1})
	}
	if got := b.Summary(epoch)["p"].TokensPerMilli; got != 110 {
		t.Errorf("%.1f tokens a ms from peers that say 110, 112 and 5", got)
	}
	for i := range 1000 {
		b.ApplyPeerReadRates(fleet.InstanceID(fmt.Sprint("x", i)), map[fleet.PoolID]float64{"p": math.Inf(1)})
		b.ApplyPeerReadRates(fleet.InstanceID(fmt.Sprint("y", i)), map[fleet.PoolID]float64{"p": 111})
	}
	if n := len(b.pool("p").readRate.peerRates); n != maxReadRatePeers {
		t.Errorf("the figures of %d peers are kept, want %d", n, maxReadRatePeers)
	}
}

// Guards against one slow engine that dominates the estimate for its pool, and
// against an estimate that does not follow a change of the pool's speed.
func TestReadRateFollowsThePool(t *testing.T) {
	b := NewBalancer(DefaultPolicy())
	b.SetServers("p", engines(9))
	now := runPrompts(b, epoch, 90, func(i int) float64 {
		if i%9 == 0 {
			return 112.0 / 8
		}
		return 112
	})
	if got := b.Summary(now)["p"].TokensPerMilli; math.Abs(got-112) > 5 {
		t.Errorf("%.1f tokens a ms with one slow engine, want 112", got)
	}
	runPrompts(b, now, 2*readRateSamples, func(int) float64 { return 30 })
	if got := b.Summary(now)["p"].TokensPerMilli; math.Abs(got-30) > 2 {
		t.Errorf("%.1f tokens a ms after all became slower, want 30", got)
	}
}
