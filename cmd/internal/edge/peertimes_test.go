package edge

import (
	"testing"
	"time"

	"cyclamenhitch/core/servicetime"
)

// Guards against a stop that judges streams without what peers know of long ones.
func TestStopLearnsTimesOfPeers(t *testing.T) {
	f := startFleet(t, 2)
	stopping, peer := f.edges[0].edge, f.edges[1].edge
	kind := servicetime.Kind{Pool: "s", Name: "once"}
	record := func(times *servicetime.Tracker, n int, took time.Duration) {
		ended := time.Now().Add(-time.Minute)
		for range n {
			times.Begin(ended.Add(-took), kind, 0).End(ended, servicetime.Whole)
		}
	}
	record(stopping.stop.times, 600, 100*time.Millisecond)
	record(peer.stop.times, 980, 100*time.Millisecond)
	record(peer.stop.times, 20, 3*time.Second)
	risk := func() float64 { return stopping.stop.times.Risk(time.Now(), kind, 0, time.Second) }
	if r := risk(); r > 0.001 {
		t.Fatalf("risk %v before the stop", r)
	}
	f.edges[0].stop()
	f.eventually("the times of the peer are known", func() bool { return risk() > 0.01 })
}
