package brittle

import (
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// maxRoundGap is the longest time between two rounds of reports of a running instance. An
	// instance that finds a longer one was paused: its view of the loads is that old.
	maxRoundGap = 1200 * time.Millisecond
	// maxReportAge is the age of the newest report from any peer beyond which an instance that
	// has heard peers does not trust its view.
	maxReportAge = 1500 * time.Millisecond
	// aloneTime is the time after which an instance that has never heard a peer counts as the
	// only one.
	aloneTime = 3 * time.Second
	// minInstances is the least number of instances among which places are divided: one that
	// sees only itself may be partitioned from peers that send as well.
	minInstances = 3
)

// Fleet is what an instance knows of the instances that send requests.
type Fleet struct {
	instances, index     int
	started, round       time.Time
	freshAt, reportAt    time.Time
	heardAny, roundsSeen bool
}

// SetInstances sets the instances that send requests, including self.
func (f *Fleet) SetInstances(self fleet.InstanceID, all []fleet.InstanceID) {
	sorted := slices.Sorted(slices.Values(all))
	f.index, _ = slices.BinarySearch(sorted, self)
	f.instances = max(minInstances, len(sorted))
}

// OnRound records that the instance sends its reports.
func (f *Fleet) OnRound(now time.Time) {
	if !f.roundsSeen {
		f.roundsSeen, f.started = true, now
	}
	if now.Sub(f.round) > maxRoundGap {
		f.freshAt = now.Add(TurnTime)
	}
	f.round = now
}

// OnReport records a report of a peer.
func (f *Fleet) OnReport(now time.Time) { f.heardAny, f.reportAt = true, now }

// Fresh reports whether the loads of the other instances are as recent as reports are.
func (f *Fleet) Fresh(now time.Time) bool {
	if f.instances == 0 || !f.roundsSeen || now.Sub(f.round) > maxRoundGap || now.Before(f.freshAt) {
		return false
	}
	if f.heardAny {
		return now.Sub(f.reportAt) <= maxReportAge
	}
	return now.Sub(f.started) >= aloneTime
}

// Round returns the time of the present round of reports.
func (f *Fleet) Round() time.Time { return f.round }
