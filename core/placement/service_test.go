package placement

import (
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
)

// Guards against a full queue that counts as a failure of its server, which sends everything
// to the other servers, and against another send before there is room. With the mechanism
// off, a refusal makes the server suspect as before.
func TestFullPlainServer(t *testing.T) {
	for _, on := range []bool{true, false} {
		policy := DefaultPolicy()
		if on {
			policy.Enabled = Mechanisms(ServicePacing)
		}
		b, now := NewBalancer(policy), time.Unix(1000, 0)
		b.SetServers("p", []Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}})
		req := &Request{Key: 7}
		refuse := func() Candidate {
			ranked, _ := b.Rank(now, "p", req, nil)
			b.Reserve(now, "p", ranked[0], req).Release(now, Refused)
			return ranked[0]
		}
		first := refuse()
		second := refuse()
		if first.ID == second.ID {
			t.Errorf("on %v: the full server is ranked first", on)
		}
		ranked, _ := b.Rank(now, "p", req, nil)
		if ranked[0].RoomAt.After(now) != on || ranked[0].Suspect == on {
			t.Errorf("on %v: the best server has room at %v, suspect %v", on, ranked[0].RoomAt, ranked[0].Suspect)
		}
		ranked, _ = b.Rank(now.Add(minFullTime), "p", req, nil)
		if !ranked[0].RoomAt.IsZero() || ranked[0].Suspect == on {
			t.Errorf("on %v: %v later: room at %v, suspect %v", on, minFullTime, ranked[0].RoomAt, ranked[0].Suspect)
		}
	}
}

// Guards against pacing by the slots of servers that take nothing, of engines or of servers
// that state none.
func TestServiceSlots(t *testing.T) {
	b, now := NewBalancer(DefaultPolicy()), time.Unix(1000, 0)
	for _, c := range []struct {
		servers []Server
		slots   int
		ok      bool
	}{
		{nil, 0, false},
		{[]Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6, Out: true}}, 6, true},
		{[]Server{{ID: "a", Slots: 6}, {ID: "b"}}, 0, false},
		{[]Server{{ID: "a", Slots: 6, Engine: true}}, 0, false},
	} {
		b.SetServers("p", c.servers)
		if slots, ok := b.ServiceSlots(now, "p"); slots != c.slots || ok != c.ok {
			t.Errorf("%v: %d, %v", c.servers, slots, ok)
		}
	}
}

// Guards against a server that refuses all it gets, for example under an address that it took
// over: idle by this instance's own load, it would rank first again after each refusal.
func TestPlainServerThatOnlyRefuses(t *testing.T) {
	policy := DefaultPolicy()
	policy.Enabled = Mechanisms(ServicePacing)
	b, now := NewBalancer(policy), time.Unix(1000, 0)
	b.SetServers("p", []Server{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}})
	refused, sends := 0, 0
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
		req := &Request{Key: uint64(sends)}
		ranked, _ := b.Rank(now, "p", req, nil)
		r := b.Reserve(now, "p", ranked[0], req)
		if sends++; ranked[0].ID == "a" {
			refused++
			r.Release(now, Refused)
			continue
		}
		r.OnFirstOutput(now.Add(15 * time.Millisecond))
		r.Release(now.Add(15*time.Millisecond), Ended)
	}
	if refused > sends/20 {
		t.Errorf("%d of %d requests go to a server that has refused all", refused, sends)
	}
	for range 2 {
		r := b.Reserve(now, "p", Candidate{ID: "a"}, &Request{})
		r.OnFirstOutput(now)
		r.Release(now, Refused)
	}
	for _, c := range func() []Candidate { ranked, _ := b.Rank(now.Add(minFullTime), "p", &Request{}, nil); return ranked }() {
		if !c.RoomAt.IsZero() && c.ID == "a" && c.RoomAt.Sub(now) > 2*minFullTime {
			t.Errorf("a server that answers again is avoided until %v later", c.RoomAt.Sub(now))
		}
	}
}

// Guards against changed decisions in pools that are not paced because a server states no
// slots: a refusal makes the server suspect, and the loads of peers count, as with the
// mechanism off.
func TestPoolWithoutSlotsIsNotPaced(t *testing.T) {
	policy := DefaultPolicy()
	policy.Enabled = Mechanisms(ServicePacing)
	b, now := NewBalancer(policy), time.Unix(1000, 0)
	b.SetServers("p", []Server{{ID: "a"}, {ID: "b", Slots: 6}})
	req := &Request{Key: 7}
	b.SetPeerLoads("peer", now, map[fleet.ServerID]Load{"b": {Running: 6}})
	ranked, _ := b.Rank(now, "p", req, nil)
	for _, c := range ranked {
		if c.ID == "b" && c.Cost < 2 {
			t.Errorf("the cost of a server with six requests of peers is %v", c.Cost)
		}
	}
	b.Reserve(now, "p", Candidate{ID: "b"}, req).Release(now, Refused)
	ranked, _ = b.Rank(now, "p", req, nil)
	if last := ranked[len(ranked)-1]; last.ID != "b" || !last.Suspect || !last.RoomAt.IsZero() {
		t.Errorf("after its refusal: %+v", last)
	}
}
