package freshness

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a key that still works after it was taken away for longer than the
// term: whatever order reads and relayed confirmations arrive in, however late, a
// view is valid only if its version was the newest within the term.
func TestLeaseNeverOutlivesTerm(t *testing.T) {
	const term = 4600 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		// changed[v] is when version v became the newest.
		changed := []Instant{0}
		now := Instant(0)
		l := NewLease(term)
		held := uint64(0)
		type read struct {
			version uint64
			start   Instant
		}
		var pending []read
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				changed = append(changed, now)
			case 1:
				// A read sees the newest version at some moment after its start.
				pending = append(pending, read{uint64(len(changed) - 1), now})
			case 2:
				if len(pending) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "arrives")
				r := pending[i]
				pending = append(pending[:i], pending[i+1:]...)
				held = max(held, r.version)
				if r.version == held {
					l.Confirm(r.version, r.start)
				}
			case 3:
				// A peer heard this instance now and confirmed the version it holds.
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond
				at := now - age
				newest := uint64(0)
				for v, since := range changed {
					if since <= at {
						newest = uint64(v)
					}
				}
				if newest == held {
					l.Confirm(held, PeerReadStart(now, age))
				}
			}
			if !l.Valid(now) {
				continue
			}
			if next := int(held) + 1; next < len(changed) && now-changed[next] >= term {
				t.Fatalf("version %d acted on %v after %d replaced it", held, now-changed[next], next)
			}
		}
	})
}

// Guards against a lease that a late answer about an old version extends.
func TestLeaseIgnoresOldVersions(t *testing.T) {
	l := NewLease(time.Second)
	l.Confirm(7, 0)
	l.Confirm(6, 900*time.Millisecond)
	if l.Valid(1100 * time.Millisecond) {
		t.Fatal("a confirmation of version 6 extended the lease on version 7")
	}
}
