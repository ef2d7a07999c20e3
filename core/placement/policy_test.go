package placement

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
)

func TestParseMechanisms(t *testing.T) {
	for _, name := range MechanismNames() {
		set, err := ParseMechanisms([]string{name})
		if err != nil || set == 0 || set&(set-1) != 0 {
			t.Errorf("%s: set %b, error %v", name, set, err)
		}
	}
	if _, err := ParseMechanisms([]string{"fetching", "fetch"}); err == nil || !strings.Contains(err.Error(), `"fetch" is unknown`) || !strings.Contains(err.Error(), "fetching") {
		t.Errorf("unknown mechanism: %v, want an error that lists the known ones", err)
	}
}

func TestPolicyBounds(t *testing.T) {
	for name, change := range map[string]func(*Policy){
		"negative weight": func(p *Policy) { p.FetchWeight = -1 },
		"infinite weight": func(p *Policy) { p.FetchWeight = math.Inf(1) },
		"no number":       func(p *Policy) { p.FetchWeight = math.NaN() },
		"negative cost":   func(p *Policy) { p.RemoteCost = -time.Millisecond },
		"endless cost":    func(p *Policy) { p.RemoteCost = time.Hour },
	} {
		p := DefaultPolicy("d")
		if err := p.Validate(); err != nil {
			t.Fatal(err)
		}
		change(&p)
		if p.Validate() == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

// newSpreadBalancer returns a balancer in data centre d0 with servers in three data centres.
func newSpreadBalancer(policy Policy, engine bool) *Balancer {
	b := NewBalancer(policy)
	var servers []Server
	for i := range 9 {
		s := Server{ID: fleet.ServerID(fmt.Sprint("e", i)), Address: fmt.Sprint("a", i), DataCentre: fleet.DataCentreID(fmt.Sprint("d", i%3)), Engine: engine, Slots: 6}
		if engine {
			s.Slots, s.CacheTokens, s.FetchTokensPerMs = 64, 300_000, 99
		}
		servers = append(servers, s)
	}
	b.SetServers("p", servers)
	return b
}

// Answers traffic between data centres: small prompts and plain services stay in the data
// centre of the instance, unless its servers are busier than the others. A large prompt has
// one home in the whole fleet, because copies of it cost more than the traffic.
func TestNearServers(t *testing.T) {
	small := func(i int) *Request {
		return &Request{Parts: []Part{{ID: uint64(i), Tokens: 150}, {ID: uint64(1000 + i), Tokens: 20}}, PromptTokens: 170, Objective: time.Second}
	}
	large := func(i int) *Request {
		return &Request{Parts: []Part{{ID: uint64(i), Tokens: 8000}, {ID: uint64(1000 + i), Tokens: 20}}, PromptTokens: 8020, Objective: time.Second}
	}
	off := DefaultPolicy("d0")
	off.Off = Mechanisms(NearServers)
	for name, c := range map[string]struct {
		policy  Policy
		engine  bool
		request func(int) *Request
		near    int // of 60 requests; -1 for about a third
	}{
		"small prompts":          {DefaultPolicy("d0"), true, small, 60},
		"small prompts, off":     {off, true, small, -1},
		"large prompts":          {DefaultPolicy("d0"), true, large, -1},
		"plain service":          {DefaultPolicy("d0"), false, func(i int) *Request { return &Request{Key: uint64(i)} }, 60},
		"other data centre":      {DefaultPolicy("elsewhere"), true, small, -1},
		"plain service, off":     {off, false, func(i int) *Request { return &Request{Key: uint64(i)} }, -1},
		"remote costs nothing":   {Policy{DataCentre: "d0"}, true, large, -1},
		"fetches weighed by 100": {Policy{DataCentre: "d0", FetchWeight: 100}, true, large, -1},
	} {
		near := 0
		for i := range 60 {
			b := newSpreadBalancer(c.policy, c.engine)
			ranked, _ := b.Rank(epoch, "p", c.request(i), nil)
			if home := ranked[0].ID; home == "e0" || home == "e3" || home == "e6" {
				near++
			}
		}
		if c.near >= 0 && near != c.near || c.near < 0 && (near < 8 || near > 35) {
			t.Errorf("%s: %d of 60 in the own data centre", name, near)
		}
	}
	b := newSpreadBalancer(DefaultPolicy("d0"), false)
	for i := range 60 {
		ranked, _ := b.Rank(epoch, "p", &Request{Key: uint64(i)}, nil)
		b.Reserve(epoch, "p", ranked[0], &Request{Key: uint64(i)})
	}
	for id, l := range b.Totals() {
		if l.Running < 4 || l.Running > 9 {
			t.Errorf("%d of 60 requests on server %s of 9", l.Running, id)
		}
	}
}

// A lost answer or an error leaves the cache of an engine intact, so that the second run
// of a request elsewhere fetches its parts. An engine that is probably down is no source.
func TestSuspectSources(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes []Outcome
		source   bool
	}{
		"healthy":                {nil, true},
		"one lost answer":        {[]Outcome{Failed}, true},
		"two lost answers":       {[]Outcome{Failed, Failed}, true},
		"repeated failures":      {[]Outcome{Failed, Failed, Failed}, false},
		"unreachable":            {[]Outcome{Unreachable}, false},
		"unreachable, then back": {[]Outcome{Unreachable, Ended}, true},
	} {
		b, part := newFetchBalancer(2, 1)
		req := &Request{Parts: part, PromptTokens: 9000}
		for _, o := range c.outcomes {
			r := b.Reserve(epoch, "p", Candidate{ID: "e0"}, req)
			if o == Ended {
				r.OnFirstOutput(epoch)
			}
			r.Release(epoch, o)
		}
		ranked, _ := b.Rank(epoch, "p", req, func(id fleet.ServerID) bool { return id == "e0" })
		if got := ranked[0].Source != ""; got != c.source {
			t.Errorf("%s: source %v, want %v", name, got, c.source)
		}
	}
}

// A report carries a limited number of parts, so that it fits into a datagram; the rest
// follows in the next ones.
func TestReportsAreLimited(t *testing.T) {
	b, _ := newFetchBalancer(3, 0)
	for i := range 30 {
		b.AddCached(epoch, fleet.ServerID(fmt.Sprint("e", i%3)), []Part{{ID: uint64(i), Tokens: 9}, {ID: uint64(100 + i), Tokens: 9}})
	}
	seen := 0
	for range 6 {
		_, placed := b.DrainReport(10)
		n := 0
		for _, p := range placed {
			n += len(p.Parts)
		}
		if n > 10 {
			t.Errorf("a report has %d parts", n)
		}
		seen += n
	}
	if seen != 60 {
		t.Errorf("%d of 60 parts reported", seen)
	}
}
