package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against ending a body that keeps its pace, and against one that is kept by a few
// bytes now and then.
func TestProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pace := Pace{Bytes: 64 << 10, Window: 10 * time.Second, Pressed: 3 * time.Second}
		now := time.Unix(0, 0)
		fast, slow := NewProgress(pace, now), NewProgress(pace, now)
		var fastBytes, slowBytes int64
		ended := false
		for now.Sub(time.Unix(0, 0)) < 2*pace.Window {
			step := time.Duration(rapid.Int64Range(1, 1000).Draw(t, "ms")) * time.Millisecond
			now = now.Add(step)
			// Somewhat above the pace of a pressed window, and half of that of a calm one.
			fastBytes += step.Milliseconds() * 64 << 10 / 1900
			slowBytes += step.Milliseconds() * 32 << 10 / 10_000
			if fast.IsStalled(now, fastBytes, rapid.Bool().Draw(t, "pressed")) {
				t.Fatalf("ended at %v with %d bytes", now, fastBytes)
			}
			ended = ended || slow.IsStalled(now, slowBytes, false)
		}
		if !ended {
			t.Fatal("a body below the pace was not ended")
		}
	})
}

// Guards against room that a shrinking body can't keep and against a refusal that changes
// what is counted.
func TestResize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBodies(16 << 20)
		held := [4]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 3).Draw(t, "body")
			n := rapid.OneOf(rapid.Int64Range(0, LongBody), rapid.Int64Range(LongBody, 8<<20)).Draw(t, "bytes")
			ok, _ := b.Resize(uint64(i%2), held[i], n)
			if !ok && n <= held[i] {
				t.Fatalf("refused to shrink from %d to %d", held[i], n)
			}
			if ok {
				held[i] = n
			}
			var sum, long int64
			for _, n := range held {
				sum += n
				if n > LongBody {
					long += n
				}
			}
			if b.Used() != sum || b.long.Used() != long || sum > b.Limit() || long > b.long.limit {
				t.Fatalf("%d and %d used, held %v", b.Used(), b.long.Used(), held)
			}
		}
	})
}
