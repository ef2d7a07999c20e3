package soak

import (
	"math"
	"math/rand/v2"
	"time"
)

func fixed(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

// logNormal draws times with the given median.
func logNormal(median time.Duration, sigma float64, most time.Duration) func(*rand.Rand) time.Duration {
	return func(rnd *rand.Rand) time.Duration {
		return min(most, time.Duration(float64(median)*math.Exp(sigma*rnd.NormFloat64())))
	}
}

// withRare draws a time factor times as long as usual with the given probability.
func withRare(usual time.Duration, probability, factor float64) func(*rand.Rand) time.Duration {
	return func(rnd *rand.Rand) time.Duration {
		if rnd.Float64() < probability {
			return time.Duration(factor * float64(usual))
		}
		return usual
	}
}

const ms = time.Millisecond

// stopPlayList holds the plays of TestStopPlays.
var stopPlayList = []stopPlay{
	{name: "one-length", kinds: []string{kindOnce}, length: fixed(time.Second), interval: 200 * ms, eventBytes: 45, callers: 25, stopped: 6, gap: time.Second},
	{name: "spread", kinds: []string{kindOnce}, length: logNormal(1500*ms, 0.7, 12*time.Second), interval: 100 * ms, eventBytes: 45, callers: 25, stopped: 6, gap: time.Second},
	{name: "rare", kinds: []string{kindOnce}, length: withRare(1200*ms, 0.004, 5.5), interval: 200 * ms, eventBytes: 45, callers: 80, stopped: 6, gap: time.Second},
	{name: "rare-fresh", kinds: []string{kindOnce}, length: withRare(1200*ms, 0.004, 6), interval: 200 * ms, eventBytes: 45, callers: 45, stopped: 6, gap: 400 * ms, warmUp: 1500 * ms, again: 1500 * ms},
	{name: "rare-fresh-100ms", kinds: []string{kindOnce}, length: withRare(1500*ms, 0.005, 5), interval: 100 * ms, eventBytes: 45, callers: 45, stopped: 6, gap: time.Second, warmUp: 3 * time.Second, again: 2500 * ms},
	{name: "rare-few", kinds: []string{kindOnce}, length: withRare(1500*ms, 0.005, 6), interval: 200 * ms, eventBytes: 45, callers: 25, stopped: 6, gap: 400 * ms, warmUp: 4 * time.Second},
	{name: "long-tail-fresh", kinds: []string{kindOnce}, length: logNormal(1000*ms, 0.6, 12*time.Second), interval: 100 * ms, eventBytes: 45, callers: 40, stopped: 6, gap: 400 * ms, warmUp: 1500 * ms, again: 1500 * ms},
	{name: "few-known", kinds: []string{kindOnce}, length: logNormal(1500*ms, 0.7, 8*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: 2500 * ms, warmUp: 1500 * ms},
	{name: "few-known-tokens", kinds: []string{kindOnce}, length: logNormal(1500*ms, 0.7, 8*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: 2500 * ms, warmUp: 1500 * ms, tokens: true},
	{name: "slow-readers", kinds: []string{kindOnce}, length: fixed(2 * time.Second), interval: 10 * ms, eventBytes: 20_000, callers: 4, slow: 1, slowBytes: 900_000, stopped: 6, gap: time.Second},
	{name: "slow-large-answers", kinds: []string{kindRead, kindOrder}, length: fixed(200 * ms), interval: 200 * ms, eventBytes: 6_000_000, callers: 3, slow: 1, slowBytes: 1_500_000, stopped: 6, gap: time.Second},
	{name: "mixed-kinds", kinds: []string{kindOnce, kindGoOn, kindOrder, kindRead}, length: logNormal(1000*ms, 0.7, 9*time.Second), interval: 100 * ms, eventBytes: 100, callers: 25, stopped: 6, gap: time.Second},
	{name: "slower-servers", kinds: []string{kindOnce, kindOrder}, length: logNormal(1200*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 100, callers: 25, stopped: 6, gap: time.Second, slowness: 200},

	// Troubles beside the stops.
	{name: "configurations", kinds: []string{kindOnce, kindOrder}, length: logNormal(1000*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: time.Second, warmUp: 5 * time.Second, during: []disturbance{changeConfiguration}},
	{name: "store-down", kinds: []string{kindOnce, kindOrder}, length: logNormal(1000*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: time.Second, warmUp: 5 * time.Second, during: []disturbance{loseStore}},
	{name: "history-dropped", kinds: []string{kindOnce, kindOrder}, length: logNormal(1000*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: time.Second, warmUp: 5 * time.Second, during: []disturbance{dropHistory, changeConfiguration}},
	{name: "store-and-history", kinds: []string{kindOnce, kindOrder}, length: logNormal(1000*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: 0, warmUp: 5 * time.Second, during: []disturbance{loseStore, dropHistory}},
	{name: "silent", kinds: []string{kindOnce, kindGoOn, kindOrder}, length: logNormal(800*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 15, stopped: 6, gap: time.Second, warmUp: 5 * time.Second, during: []disturbance{withMode(modeSilent, silenceTime)}},
	{name: "silent-one-stop", kinds: []string{kindOnce, kindGoOn, kindOrder}, length: logNormal(800*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 25, stopped: 1, gap: time.Second, warmUp: 5 * time.Second, during: []disturbance{withMode(modeSilent, silenceTime)}},
	{name: "silent-first", kinds: []string{kindOnce, kindGoOn, kindOrder}, length: logNormal(800*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 15, stopped: 3, gap: time.Second, warmUp: 5 * time.Second, during: []disturbance{withMode(modeSilentFirst, silenceTime)}},
	{name: "silent-for-good", kinds: []string{kindOnce, kindOrder}, length: logNormal(800*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 15, stopped: 6, gap: time.Second, warmUp: 5 * time.Second, during: []disturbance{withMode(modeSilentFirst, 18*time.Second)}},
	{name: "breaking-off", kinds: []string{kindOnce, kindGoOn, kindOrder, kindRead}, length: logNormal(1000*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: time.Second, warmUp: 5 * time.Second, during: []disturbance{withMode(modeBreakOff, silenceTime)}},
	{name: "chains", kinds: []string{kindOnce, kindGoOn}, length: logNormal(1200*ms, 0.5, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, prefix: true, stopped: 6, gap: time.Second, warmUp: 5 * time.Second},
	{name: "terms-and-hups", kinds: []string{kindOnce, kindOrder}, length: logNormal(1000*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: 500 * ms, warmUp: 5 * time.Second, moreTerms: []time.Duration{300 * ms, 2 * time.Second, 5 * time.Second}, during: []disturbance{reloadStarted}},
	{name: "hups-at-start", kinds: []string{kindOnce, kindOrder}, length: fixed(500 * ms), interval: 100 * ms, eventBytes: 45, callers: 5, stopped: 6, gap: 200 * ms, warmUp: 2 * time.Second, again: 2 * time.Second, during: []disturbance{reload}},
	{name: "suspended-others", kinds: []string{kindOnce, kindOrder}, length: logNormal(1000*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 3, gap: 500 * ms, warmUp: 5 * time.Second, during: []disturbance{suspendOthers}},
	{name: "together", kinds: []string{kindOnce, kindOrder}, length: logNormal(1200*ms, 0.5, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: 0, warmUp: 5 * time.Second},
	{name: "everything", kinds: []string{kindOnce, kindGoOn, kindOrder, kindRead}, length: logNormal(800*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, prefix: true, stopped: 6, gap: 700 * ms, warmUp: 5 * time.Second, again: 2 * time.Second, during: []disturbance{changeConfiguration, loseStore, dropHistory, withMode(modeBreakOff, silenceTime), reloadStarted}},

	// Callers.
	{name: "eager", kinds: []string{kindOnce, kindOrder, kindRead}, length: logNormal(500*ms, 0.4, 4*time.Second), interval: 50 * ms, eventBytes: 45, callers: 10, eager: true, stopped: 6, gap: time.Second, warmUp: 5 * time.Second},
	{name: "eager-pieces", kinds: []string{kindOnce, kindOrder, kindRead}, length: logNormal(700*ms, 0.4, 6*time.Second), interval: 50 * ms, eventBytes: 45, callers: 12, pieces: 0.6, eager: true, stopped: 6, gap: time.Second, warmUp: 5 * time.Second},
	{name: "pieces", kinds: []string{kindOnce, kindOrder}, length: fixed(1000 * ms), interval: 100 * ms, eventBytes: 45, callers: 20, pieces: 1, stopped: 6, gap: 500 * ms, warmUp: 5 * time.Second},
	{name: "pausing-readers", kinds: []string{kindRead, kindOrder}, length: fixed(400 * ms), interval: 100 * ms, eventBytes: 500_000, callers: 6, slow: 1, slowPause: 2 * time.Second, stopped: 6, gap: time.Second, warmUp: 5 * time.Second},
	{name: "pausing-streams", kinds: []string{kindOnce}, length: fixed(2 * time.Second), interval: 10 * ms, eventBytes: 20_000, callers: 4, slow: 1, slowPause: 2 * time.Second, stopped: 6, gap: time.Second, warmUp: 5 * time.Second},
	{name: "pausing-large", kinds: []string{kindRead, kindOrder}, length: fixed(200 * ms), interval: 200 * ms, eventBytes: 6_000_000, callers: 3, slow: 1, slowPause: 2 * time.Second, stopped: 6, gap: time.Second, warmUp: 5 * time.Second},
}
