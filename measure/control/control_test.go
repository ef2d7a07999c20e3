package control

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/manifest"
)

// accounts is the number of client accounts at the target size.
const accounts = 18000

// seeds of the simulations.
const (
	seedSteady = 1
	seedSpread = 2
	seedDetect = 3
	seedHeal   = 4
)

// warmUp covers the start of all instances, their probes of the list and the
// 30 s in which a new instance trusts only its own probes.
const warmUp = 40 * time.Second

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func totalTraffic(s *sim) int64 {
	var sum int64
	for _, nd := range s.nodes {
		sum += nd.sent + nd.received
	}
	return sum
}

// viewsComplete reports whether every running instance sees exactly the running ones.
func viewsComplete(s *sim) bool {
	up := 0
	for _, nd := range s.nodes {
		if nd.up {
			up++
		}
	}
	for _, nd := range s.nodes {
		if nd.up && len(nd.detector.View().Members) != up {
			return false
		}
	}
	return true
}

func newStartedSim(b *testing.B, n int, loss float64, seed uint64, bo *transferSizes) *sim {
	b.Helper()
	s := newSim(n, loss, seed, bo)
	s.run(warmUp)
	for range 100 {
		if viewsComplete(s) {
			return s
		}
		s.run(time.Second)
	}
	b.Fatalf("views of %d instances are not complete after %v", n, s.now.Sub(epoch))
	return nil
}

// sizes adds 1,000 instances with CONTROL_LARGE=1; that takes about 5 minutes
// and 1 GB, since each simulated instance holds all members.
func sizes() []int {
	if os.Getenv("CONTROL_LARGE") != "" {
		return []int{9, 90, 370, 1000}
	}
	return []int{9, 90, 370}
}

// BenchmarkControl measures what control costs each instance in steady state
// with the changes of the target size (1,600 a day, one each 54 s).
func BenchmarkControl(b *testing.B) {
	for _, n := range sizes() {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				benchSteadyState(b, n)
			}
		})
	}
}

func benchSteadyState(b *testing.B, n int) {
	const window = 108 * time.Second
	before := heapBytes()
	bo := newBodies(accounts)
	s := newStartedSim(b, n, 0, seedSteady, bo)
	s.acceptVersion(true)
	s.run(20 * time.Second)
	heap := float64(heapBytes()-before) / float64(n)
	bytes, reads, cpu, start := totalTraffic(s), s.reads, processorTime(), s.now
	for range 2 {
		s.measureSpread(true, 10*time.Second)
		s.run(window/2 - s.now.Sub(start)%(window/2))
	}
	secs := s.now.Sub(start).Seconds()
	b.ReportMetric(float64(totalTraffic(s)-bytes)/secs/float64(n), "B/s")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/secs/float64(n), "core-%")
	b.ReportMetric(heap, "heap-B")
	b.ReportMetric(float64(s.reads-reads)/secs, "reads/s")
	if s.err != nil || s.falseRemovals > 0 {
		b.Fatalf("%d false removals, error %v", s.falseRemovals, s.err)
	}
}

// BenchmarkControlSpread measures the largest time until a version is in force
// on every instance, over 200 changes.
func BenchmarkControlSpread(b *testing.B) {
	for _, mode := range []string{"notified", "store-down", "polled"} {
		for _, n := range []int{9, 90, 370} {
			b.Run(fmt.Sprintf("%s/instances=%d", mode, n), func(b *testing.B) {
				for b.Loop() {
					s := newStartedSim(b, n, 0, seedSpread, newBodies(1000))
					var all []time.Duration
					for range 200 {
						s.run(time.Duration(s.rng.Int64N(int64(2 * time.Second))))
						s.storeDown = mode == "store-down"
						all = append(all, s.measureSpread(mode != "polled", 60*time.Second))
						s.storeDown = false
					}
					slices.Sort(all)
					b.ReportMetric(all[len(all)-1].Seconds(), "max-s")
					b.ReportMetric(all[len(all)/2].Seconds(), "median-s")
				}
			})
		}
	}
}

// BenchmarkControlDetect measures the time until a killed instance has left
// every view, and false removals.
func BenchmarkControlDetect(b *testing.B) {
	for _, loss := range []float64{0, 0.1} {
		for _, n := range []int{9, 90, 370} {
			b.Run(fmt.Sprintf("loss=%v/instances=%d", loss, n), func(b *testing.B) {
				for b.Loop() {
					benchDetection(b, n, loss)
				}
			})
		}
	}
}

func benchDetection(b *testing.B, n int, loss float64) {
	s := newStartedSim(b, n, loss, seedDetect, newBodies(1000))
	begin := s.now
	base := s.falseRemovals
	var all []time.Duration
	for range 30 {
		s.run(5*time.Second + time.Duration(s.rng.Int64N(int64(time.Second))))
		nd := s.nodes[s.rng.IntN(n)]
		s.kill(nd)
		at := s.now
		for s.now.Sub(at) < 60*time.Second {
			s.run(10 * time.Millisecond)
			if !inAnyView(s, nd) {
				break
			}
		}
		all = append(all, s.now.Sub(at))
		s.run(5 * time.Second)
		s.start(nd)
		s.run(5 * time.Second)
	}
	slices.Sort(all)
	b.ReportMetric(all[len(all)-1].Seconds(), "max-s")
	b.ReportMetric(all[len(all)/2].Seconds(), "median-s")
	b.ReportMetric(float64(s.falseRemovals-base), "false-removals")
	b.ReportMetric(s.now.Sub(begin).Seconds()*float64(n)/3600, "instance-hours")
}

func inAnyView(s *sim, gone *node) bool {
	for _, nd := range s.nodes {
		if nd.up && nd.detector.View().Find(gone.member.ID) != nil {
			return true
		}
	}
	return false
}

// BenchmarkControlHeal measures the time until all views agree after a region
// was cut off for 2 minutes, and the traffic in that time.
func BenchmarkControlHeal(b *testing.B) {
	for _, n := range []int{9, 90, 370} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				s := newStartedSim(b, n, 0, seedHeal, newBodies(1000))
				s.partitioned = true
				s.run(2 * time.Minute)
				s.partitioned = false
				at, bytes := s.now, totalTraffic(s)
				for !viewsComplete(s) && s.now.Sub(at) < 5*time.Minute {
					s.run(50 * time.Millisecond)
				}
				secs := s.now.Sub(at).Seconds()
				b.ReportMetric(secs, "heal-s")
				b.ReportMetric(float64(totalTraffic(s)-bytes)/secs/float64(n), "B/s")
			}
		})
	}
}

// BenchmarkControlApply measures what one change costs an instance with 18,000
// accounts: difference, decoding and index.
func BenchmarkControlApply(b *testing.B) {
	bo := newBodies(accounts)
	bo.bytes(0, 1)
	old := bo.history.Current()
	next := body(accounts, 2)
	b.Run("diff-and-patch", func(b *testing.B) {
		for b.Loop() {
			ops := manifest.Diff(old.Text, next.Text)
			if out, err := manifest.ApplyPatch(old.Text, ops); err != nil || len(out) != len(next.Text) {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(bo.bytes(1, 2)), "diff-B")
		b.ReportMetric(float64(len(next.Text)), "body-B")
	})
	b.Run("decode-and-index", func(b *testing.B) {
		for b.Loop() {
			before := heapBytes()
			m, err := manifest.Decode(next.Text)
			if err != nil {
				b.Fatal(err)
			}
			x := manifest.NewIndex(2, m)
			b.ReportMetric(float64(heapBytes()-before), "heap-B")
			runtime.KeepAlive(x)
		}
	})
}

// BenchmarkControlPeak measures the largest heap of an instance with 18,000
// accounts while it changes from one version to the next: both bodies, both
// indexes and what decoding leaves to the collector.
func BenchmarkControlPeak(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		var h configstate.History
		var x *manifest.Index
		var peak uint64
		for v := uint64(1); v <= 5; v++ {
			next := body(accounts, v)
			h.Push(next)
			stop, done := make(chan struct{}), make(chan uint64)
			go samplePeak(stop, done)
			m, err := manifest.Decode(next.Text)
			if err != nil {
				b.Fatal(err)
			}
			x = manifest.NewIndex(v, m)
			close(stop)
			peak = max(peak, <-done)
		}
		b.ReportMetric(float64(peak-before), "peak-heap-B")
		runtime.KeepAlive(x)
	}
}

func samplePeak(stop chan struct{}, done chan uint64) {
	var peak uint64
	var m runtime.MemStats
	for {
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-stop:
			done <- peak
			return
		case <-time.After(time.Millisecond):
		}
	}
}
