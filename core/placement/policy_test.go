package placement

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"cyclamenhitch/core/fleet"
)

func TestParseMechanisms(t *testing.T) {
	var all Mechanisms
	for _, m := range ListMechanisms() {
		set, err := ParseMechanisms([]string{m.Name})
		if err != nil || !set.Has(m.Mechanism) || set&all != 0 || m.Does == "" {
			t.Errorf("%s: set %b, error %v", m.Name, set, err)
		}
		all |= set
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
	} {
		p := DefaultPolicy()
		if err := p.Validate(); err != nil {
			t.Fatal(err)
		}
		change(&p)
		if p.Validate() == nil {
			t.Errorf("%s was accepted", name)
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
	// A prompt of very many parts must not hold up the reports of others.
	long := make([]Part, 5000)
	for i := range long {
		long[i] = Part{ID: uint64(10_000 + i), Tokens: 1}
	}
	for _, parts := range [][]Part{long, {{ID: 1, Tokens: 9}, {ID: 2, Tokens: 9}}} {
		b.Reserve(epoch, "p", Candidate{ID: "e0"}, &Request{Parts: parts, PromptTokens: len(parts)})
	}
	if _, placed := b.DrainReport(1000); len(placed) != 2 {
		t.Errorf("%d of 2 prompts reported after a long one", len(placed))
	}
}

// Guards against an optional mechanism that changes decisions without being asked for, and
// against a mandatory one that appears in the list of enabled ones.
func TestOptionalMechanisms(t *testing.T) {
	p := DefaultPolicy()
	for _, m := range ListMechanisms() {
		want := !optional.Has(m.Mechanism)
		if p.On(m.Mechanism) != want {
			t.Errorf("%s is on by default: %v, want %v", m.Name, !want, want)
		}
		set, err := ParseOptional([]string{m.Name})
		if (err == nil) == want {
			t.Errorf("enabling %s: error %v", m.Name, err)
		}
		if q := (Policy{Enabled: set}); err == nil && !q.On(m.Mechanism) {
			t.Errorf("%s stays off though it is enabled", m.Name)
		}
		if q := (Policy{Enabled: set, Off: Mechanisms(m.Mechanism)}); q.On(m.Mechanism) {
			t.Errorf("%s stays on though it is disabled", m.Name)
		}
	}
}
