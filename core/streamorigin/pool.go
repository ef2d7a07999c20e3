package streamorigin

import (
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// closeDelay is how long a version must be without an entry before the history says that
	// it has left: entries that lapsed in an outage return within some 2 s.
	closeDelay = 3 * time.Second
	// rankDelay is how long each further writer of the history waits for the one before.
	rankDelay = 500 * time.Millisecond
	// writers is how many instances may write the history of a pool.
	writers = 3
	// clockMargin covers the time between a reading of the store's clock and the end of the
	// call. It makes times in the history later, which is the safe side.
	clockMargin = time.Second
	// firstEra is the largest era of a store that has never returned as an older copy. A row
	// that such a store does not have was never written.
	firstEra = 1
)

// pool is the knowledge of one pool.
type pool struct {
	id        fleet.PoolID
	window    time.Duration
	firstSeen time.Time
	servers   map[fleet.ServerID]*server
	versions  map[string]*versionUse
	// several is set once two versions were seen.
	several bool
	// since is the time from which on all versions are known; with always, there were no
	// streams before.
	since  time.Time
	always bool
	// proven is the last read of the store that showed the complete history.
	proven time.Time
	// row is the history as read last, nil if it was not read in the current era.
	row *historyRow
	// checkAt is when the stored history is to be compared; zero for never.
	checkAt time.Time
	// movedUntil is the time up to which streams may be taken up that a configuration has moved
	// to or from the pool.
	movedUntil time.Time
}

// server is an entry and when its process was last known to run.
type server struct {
	Server
	aliveAt time.Time
	// unsure is set if other processes may have run under its ID while the entries were not
	// read, until it writes an entry again.
	unsure bool
	// gone is when its entry was first missing; zero while it exists.
	gone time.Time
}

// versionUse is when a version served.
type versionUse struct {
	listed bool
	// last is when a server of the version last had an entry, as far as this instance knows.
	last time.Time
	// seen is when this instance last saw one itself; zero if never.
	seen time.Time
	// absent is since when this instance has seen none.
	absent time.Time
}

func newPool(id fleet.PoolID, now time.Time) *pool {
	return &pool{id: id, firstSeen: now, since: now, servers: map[fleet.ServerID]*server{}, versions: map[string]*versionUse{}}
}

// observe records the entry of a server. If processes with other versions may have run under
// its ID, it returns the time since when starts may have reached them.
func (p *pool) observe(now time.Time, s Server) (from time.Time, doubtful bool) {
	rec := p.servers[s.ID]
	if rec == nil {
		p.servers[s.ID] = &server{Server: s, aliveAt: now}
		return time.Time{}, false
	}
	newProcess := rec.StartMillis != s.StartMillis || s.Sequence < rec.Sequence
	switch {
	case rec.Version != s.Version, newProcess && rec.unsure:
		from, doubtful = rec.aliveAt.Add(-restartMargin), true
		rec.aliveAt, rec.unsure = now, false
	case rec.Sequence != s.Sequence:
		rec.aliveAt, rec.unsure = now, false
	case s.Sequence == 0:
		rec.aliveAt = now
	}
	rec.Server, rec.gone = s, time.Time{}
	return from, doubtful
}

// dropServers records which servers have no entry, and returns those of them whose last starts
// are doubtful.
func (p *pool) dropServers(now time.Time, servers []Server) (doubtful []*server) {
	present := make(map[fleet.ServerID]bool, len(servers))
	for _, s := range servers {
		present[s.ID] = true
	}
	for id, rec := range p.servers {
		switch {
		case present[id]:
		case rec.gone.IsZero():
			if rec.gone = now; rec.unsure {
				doubtful = append(doubtful, rec)
			}
		case now.Sub(rec.gone) > p.window:
			delete(p.servers, id)
		}
	}
	return doubtful
}

// setVersions updates which versions are listed, and reports whether that has changed.
func (p *pool) setVersions(now time.Time, servers []Server) bool {
	listed := make(map[string]bool, 2)
	for _, s := range servers {
		listed[s.Version] = true
	}
	changed := false
	for v, use := range p.versions {
		switch {
		case use.listed && !listed[v]:
			use.listed, use.last, use.seen, use.absent, changed = false, now, now, now, true
			p.checkBy(now.Add(closeDelay))
		case !use.listed && !listed[v] && now.Sub(use.last) > p.window:
			delete(p.versions, v)
		}
	}
	for v := range listed {
		if use := p.versions[v]; use == nil || !use.listed {
			p.versions[v], changed = &versionUse{listed: true, last: now}, true
			p.checkBy(now)
		}
	}
	p.several = p.several || len(p.versions) > 1
	return changed
}

// checkBy sets when the stored history is compared at the latest.
func (p *pool) checkBy(at time.Time) {
	if p.checkAt.IsZero() || at.Before(p.checkAt) {
		p.checkAt = at
	}
}

// confirm records a read of the entries; previous is the time of the one before.
func (p *pool) confirm(at, previous time.Time) {
	if previous.IsZero() || at.Sub(laterOf(previous, p.proven)) <= maxReadGap {
		return
	}
	// Versions may have come and gone since.
	p.since, p.always = laterOf(p.since, at), false
}

// complete reports whether all versions of the window are known.
func (p *pool) complete(now time.Time) bool {
	return p.always || !p.since.After(now.Add(-p.window))
}

// recent reports whether a version may have begun a stream that can still be taken up.
func (p *pool) recent(now time.Time, use *versionUse) bool {
	return use.listed || now.Sub(use.last) <= p.window
}

// onlyVersion returns the only version that is known to have served in the window.
func (p *pool) onlyVersion(now time.Time) (string, bool) {
	only, n := "", 0
	for v, use := range p.versions {
		if p.recent(now, use) {
			only = v
			n++
		}
	}
	return only, n == 1
}

// ambiguous reports whether the pool does not show where a stream began: several versions served
// in the window, or streams were moved.
func (p *pool) ambiguous(now time.Time) bool {
	if now.Before(p.movedUntil) {
		return true
	}
	n := 0
	for _, use := range p.versions {
		if p.recent(now, use) {
			n++
		}
	}
	return n > 1
}

// use returns what is known of a version that the history names.
func (p *pool) use(now time.Time, version string) *versionUse {
	u := p.versions[version]
	if u == nil {
		u = &versionUse{absent: now}
		p.versions[version] = u
		p.several = p.several || len(p.versions) > 1
		p.checkBy(now.Add(closeDelay))
	}
	return u
}
