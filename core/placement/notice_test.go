package placement

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
)

const noticePool fleet.PoolID = "p"

func noticeServers(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{ID: fleet.ServerID(fmt.Sprint("s", i)), Address: fmt.Sprint("a", i), Slots: 8, Engine: true, CacheTokens: 100_000, Incarnation: 1})
	}
	return out
}

func noticeBoard(servers []Server) *Balancer {
	b := NewBalancer(DefaultPolicy())
	b.SetServers(noticePool, servers)
	return b
}

// ranked returns the servers that a request may go to.
func ranked(b *Balancer, now time.Time) (map[fleet.ServerID]bool, RankStatus) {
	out := map[fleet.ServerID]bool{}
	list, status := b.Rank(now, noticePool, &Request{Key: 7}, nil)
	for _, c := range list {
		out[c.ID] = true
	}
	return out, status
}

// A server that announced its leaving gets nothing until it starts again or the list shows
// that it stays: not with time, not when its entry lapses and returns, and not by a list
// that is older than the announcement.
func TestLeavingEndsOnlyWithNewLife(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	change := func(f func(s *Server)) []Server {
		list := noticeServers(2)
		f(&list[0])
		return list
	}
	same := noticeServers(2)
	draining := change(func(s *Server) { s.Draining, s.Out = true, true })
	cases := map[string]struct {
		lists [][]Server
		takes bool
	}{
		"the same list again":                   {[][]Server{same}, false},
		"entry lapses and returns":              {[][]Server{same[1:], same}, false},
		"list shows leaving":                    {[][]Server{draining}, false},
		"list shows that it stays":              {[][]Server{draining, same}, true},
		"it starts again":                       {[][]Server{change(func(s *Server) { s.Incarnation = 2 })}, true},
		"it starts again after its entry went":  {[][]Server{same[1:], change(func(s *Server) { s.Incarnation = 2 })}, true},
		"its address belongs to another server": {[][]Server{change(func(s *Server) { s.ID = "other" })}, true},
		"it moved":                              {[][]Server{change(func(s *Server) { s.Address = "elsewhere" })}, true},
	}
	for name, c := range cases {
		b := noticeBoard(same)
		if !b.NoteLeaving(now, "s0") || b.NoteLeaving(now, "s0") {
			t.Fatalf("%s: the announcement counts once", name)
		}
		if got, _ := ranked(b, now); got["s0"] || !got["s1"] {
			t.Errorf("%s: ranked %v right after the announcement", name, got)
		}
		for _, list := range c.lists {
			b.SetServers(noticePool, list)
		}
		now := now.Add(time.Hour)
		got, _ := ranked(b, now)
		if takes := got["s0"] || got["other"]; takes != c.takes {
			t.Errorf("%s: takes requests %v, want %v", name, takes, c.takes)
		}
	}
}

// A place that was ranked before the announcement must not be reserved after it.
func TestReserveAfterAnnouncement(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := noticeBoard(noticeServers(2))
	list, _ := b.Rank(now, noticePool, &Request{Key: 7}, nil)
	b.NoteLeaving(now, list[0].ID)
	b.NotePause(list[1].ID, now.Add(time.Second))
	for _, c := range list {
		if b.Reserve(now, noticePool, c, &Request{Key: 7}) != nil {
			t.Errorf("reserved a place at %s", c.ID)
		}
	}
}

// What another instance says of a server only ranks it last: false reports about all
// servers leave a pool that serves.
func TestPeersHintCannotEmptyPool(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	teller, hearer := noticeBoard(noticeServers(3)), noticeBoard(noticeServers(3))
	for i := range 3 {
		teller.NoteLeaving(now, fleet.ServerID(fmt.Sprint("s", i)))
	}
	hearer.ApplyPeerSuspicions(now, teller.Suspicions(now))
	if got, status := ranked(hearer, now); len(got) != 3 || status != Found {
		t.Errorf("ranked %v, status %v", got, status)
	}
	if got, status := ranked(teller, now); len(got) != 0 || status != NoServers {
		t.Errorf("the teller ranked %v, status %v", got, status)
	}
}

// A pause ends by itself, concerns one server of one instance, and is no failure that
// other instances hear of.
func TestPause(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := noticeBoard(noticeServers(2))
	list, _ := b.Rank(now, noticePool, &Request{Key: 7}, nil)
	for range 3 {
		r := b.Reserve(now, noticePool, list[0], &Request{Key: 7})
		b.NotePause(list[0].ID, now.Add(3*time.Second))
		if r != nil {
			r.Release(now, Refused)
		}
	}
	if got, _ := ranked(b, now.Add(2999*time.Millisecond)); got[list[0].ID] || len(got) != 1 {
		t.Errorf("ranked %v in the pause", got)
	}
	if s := b.Suspicions(now); len(s) != 0 {
		t.Errorf("peers are told of %v", s)
	}
	if got, _ := ranked(b, now.Add(3*time.Second)); len(got) != 2 {
		t.Errorf("ranked %v after the pause", got)
	}
	b.NotePause(list[1].ID, now.Add(2*time.Second))
	if _, status := ranked(b, now); status != AllPaused {
		t.Errorf("status %v while all servers are paused", status)
	}
	if end, ok := b.EarliestPauseEnd(now, noticePool); !ok || !end.Equal(now.Add(2*time.Second)) {
		t.Errorf("earliest end %v, %v", end, ok)
	}
}

// With a third of a pool paused or leaving no other server passes the load bound, whose mean
// counts the servers that take requests only; after a pause the load returns by degrees.
func TestLoadBoundWithThirdAway(t *testing.T) {
	const servers, requests = 9, 90
	for _, away := range []string{"paused", "leaving"} {
		now := time.Unix(1_000_000, 0)
		b := noticeBoard(noticeServers(servers))
		for i := range servers / 3 {
			id := fleet.ServerID(fmt.Sprint("s", i))
			if away == "leaving" {
				b.NoteLeaving(now, id)
			} else {
				b.NotePause(id, now.Add(5*time.Second))
			}
		}
		running := map[fleet.ServerID]int{}
		place := func(now time.Time, key int) {
			req := &Request{Key: uint64(key), Parts: []Part{{ID: 1, Tokens: 900}, {ID: uint64(1000 + key), Tokens: 10}}, PromptTokens: 910}
			list, _ := b.Rank(now, noticePool, req, nil)
			if len(list) == 0 {
				return
			}
			if b.Reserve(now, noticePool, list[0], req) != nil {
				running[list[0].ID]++
			}
		}
		for key := range requests {
			place(now, key)
			total := 0
			for _, n := range running {
				total += n
			}
			for id, n := range running {
				if bound := loadBound(total-1, servers-servers/3, servers-servers/3); float64(n) > bound {
					t.Fatalf("%s: %s runs %d requests, bound %.1f", away, id, n, bound)
				}
			}
		}
		for i := range servers / 3 {
			if n := running[fleet.ServerID(fmt.Sprint("s", i))]; n != 0 {
				t.Errorf("%s: s%d got %d requests", away, i, n)
			}
		}
		if away == "leaving" {
			continue
		}
		after := now.Add(5*time.Second + pauseRampTime/10)
		for key := range requests {
			place(after, 1000+key)
		}
		for i := range servers / 3 {
			id := fleet.ServerID(fmt.Sprint("s", i))
			if n, most := running[id], 0.1*loadBound(2*requests, servers, servers)+1; float64(n) > most {
				t.Errorf("%s got %d requests right after its pause, want at most %.1f", id, n, most)
			}
		}
	}
}

// With a third of a pool taken out of service, the mean of the users' bound still counts its
// servers: no other server may hold more than twice that mean and 3.
func TestLoadBoundWithThirdOutOfService(t *testing.T) {
	const servers, requests = 12, 150
	now := time.Unix(1_000_000, 0)
	list := noticeServers(servers)
	for i := range servers / 3 {
		list[i].Out = true
	}
	b := noticeBoard(list)
	running, total := map[fleet.ServerID]int{}, 0
	for key := range requests {
		req := &Request{Key: uint64(key), Parts: []Part{{ID: 1, Tokens: 9000}, {ID: uint64(1000 + key), Tokens: 10}}, PromptTokens: 9010}
		ranked, _ := b.Rank(now, noticePool, req, nil)
		if len(ranked) == 0 || b.Reserve(now, noticePool, ranked[0], req) == nil {
			t.Fatalf("request %d finds no place", key)
		}
		running[ranked[0].ID]++
		total++
		if n, mean := running[ranked[0].ID], float64(total)/servers; float64(n) > 2*mean+3 {
			t.Fatalf("%s holds %d requests, the mean of the pool is %.1f", ranked[0].ID, n, mean)
		}
	}
}
