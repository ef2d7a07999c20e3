package soak

import (
	"slices"
	"strings"
	"time"
)

const (
	// leavingTime is the time after an answer with the announcement from which its instance
	// must send the server nothing.
	leavingTime = 2 * time.Second
	// A paused server wants nothing between pauseNoticeTime after a refusal and the end of
	// the pause; maxInPause requests may still reach it.
	pauseSeconds    = "1.5"
	pauseTime       = 1500 * time.Millisecond
	pauseNoticeTime = 500 * time.Millisecond
	maxInPause      = 2
	// After learnCrashes crashes and contactTime, at most maxDeadlyRuns requests with the
	// deadly part may reach servers.
	learnCrashes  = 5
	maxDeadlyRuns = 3
)

// arrival is a request that reached a server.
type arrival struct {
	instance string // caller address of the instance that sent it
	at       time.Time
	leaving  bool // the answer announced the server's leaving
	deadly   bool
	refused  bool
	// passedOn is when the caller had the answer; zero if it got none.
	passedOn time.Time
}

// arrivals returns what reached a server, in order of time.
func arrivals(s *server, calls map[string]*call) []arrival {
	var out []arrival
	add := func(id string, a arrival) {
		if k := calls[id]; k != nil {
			a.instance = k.instance
			if k.status > 0 && k.complete {
				a.passedOn = k.ended
			}
			out = append(out, a)
		}
	}
	for _, r := range s.Runs() {
		add(r.ID, arrival{at: r.StartedAt, leaving: r.Leaving, deadly: strings.Contains(r.PromptParts, deadlyPart+":")})
	}
	for _, r := range s.Refusals() {
		add(r.ID, arrival{at: r.At, refused: true})
	}
	slices.SortFunc(out, func(a, b arrival) int { return a.at.Compare(b.at) })
	return out
}

func byID(calls []*call) map[string]*call {
	out := make(map[string]*call, len(calls))
	for _, k := range calls {
		out[k.id] = k
	}
	return out
}

// checkAnnouncements checks that instances follow what servers announced to them.
func (f *fleet) checkAnnouncements(calls []*call) {
	f.t.Helper()
	known := byID(calls)
	announced, refused := 0, 0
	for _, s := range f.servers {
		list := arrivals(s, known)
		for i, a := range list {
			if a.leaving && !a.passedOn.IsZero() {
				announced++
				f.checkLeaving(s, a, list[i+1:])
			}
			if a.refused {
				refused++
				f.checkPause(s, a, list[i+1:])
			}
		}
	}
	f.t.Logf("%d answers announced a leaving, %d refusals asked for a pause", announced, refused)
}

func (f *fleet) checkLeaving(s *server, said arrival, later []arrival) {
	f.t.Helper()
	for _, a := range later {
		if a.instance != said.instance || a.at.Before(said.passedOn.Add(leavingTime)) {
			continue
		}
		startedAgain := slices.ContainsFunc(s.lives, func(t time.Time) bool { return t.After(said.at) && t.Before(a.at) })
		if !startedAgain && !f.wasHarmed(said.instance, said.at, a.at) && !f.wasHarmed(s.ID, said.at, a.at) {
			f.t.Errorf("a request from %s reached %s %v after an answer that announced its leaving", a.instance, s.ID, a.at.Sub(said.passedOn))
			return
		}
	}
}

func (f *fleet) checkPause(s *server, said arrival, later []arrival) {
	f.t.Helper()
	n := 0
	for _, a := range later {
		if a.instance == said.instance && a.at.After(said.at.Add(pauseNoticeTime)) && a.at.Before(said.at.Add(pauseTime)) {
			n++
		}
	}
	end := said.at.Add(pauseTime)
	if n > maxInPause && !f.wasHarmed(said.instance, said.at, end) && !f.wasHarmed(s.ID, said.at, end) {
		f.t.Errorf("%d requests from %s reached %s in a pause of %v", n, said.instance, s.ID, pauseTime)
	}
}

// checkCrashes checks that few requests with the deadly part reach servers once it is known.
func (f *fleet) checkCrashes(calls []*call) {
	f.t.Helper()
	known := byID(calls)
	var deadly []arrival
	crashes := 0
	for _, s := range f.servers {
		crashes += s.Crashes()
		deadly = append(deadly, slices.DeleteFunc(arrivals(s, known), func(a arrival) bool { return !a.deadly })...)
	}
	slices.SortFunc(deadly, func(a, b arrival) int { return a.at.Compare(b.at) })
	f.t.Logf("%d crashes", crashes)
	if len(deadly) <= learnCrashes {
		return
	}
	since, n := deadly[learnCrashes-1].at.Add(contactTime), 0
	for _, a := range deadly {
		if a.at.After(since) && !f.wasHarmed(a.instance, a.at.Add(-contactTime), a.at) {
			n++
		}
	}
	if n > maxDeadlyRuns {
		f.t.Errorf("%d requests with a part that crashes servers reached them after %d crashes, want at most %d", n, learnCrashes, maxDeadlyRuns)
	}
}
