package manifest

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// MaxBytes is the largest accepted manifest, in bytes. 18,000 accounts take
// about 4 MB.
const MaxBytes = 32 << 20

// Problem is one error in a manifest.
type Problem struct {
	// Line and Column are 1-based; 0 means that the position is not known.
	Line, Column int
	Message      string
}

// String formats the problem as line:column: message.
func (p Problem) String() string {
	if p.Line == 0 {
		return p.Message
	}
	return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Message)
}

// Problems is the list of all errors found in a manifest.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Decode parses and checks a manifest as a whole and fills in defaults. On
// failure it returns a ManifestInvalid error whose cause is Problems.
func Decode(src []byte) (*Manifest, error) {
	if len(src) > MaxBytes {
		return nil, result.New(result.ManifestInvalid, "manifest has %d bytes, the limit is %d", len(src), MaxBytes)
	}
	var m Manifest
	dec := toml.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return nil, result.Wrap(result.ManifestInvalid, decodeProblems(err), "manifest cannot be decoded")
	}
	m.applyDefaults()
	if ps := m.check(locate(src)); len(ps) > 0 {
		return nil, result.Wrap(result.ManifestInvalid, ps, "manifest has %d errors", len(ps))
	}
	return &m, nil
}

func decodeProblems(err error) Problems {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var ps Problems
		for _, e := range strict.Errors {
			row, col := e.Position()
			ps = append(ps, Problem{row, col, "unknown key " + strings.Join(e.Key(), ".")})
		}
		return ps
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return Problems{{row, col, de.Error()}}
	}
	return Problems{{0, 0, err.Error()}}
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func (m *Manifest) applyDefaults() {
	setDefault(&m.Fleet.KeepSeconds, 20)
	setDefault(&m.Fleet.WeightLoadsPerMinute, 60)
	for i := range m.DataCentres {
		setDefault(&m.DataCentres[i].State, StateIn)
	}
	for i := range m.Pools {
		p := &m.Pools[i]
		setDefault(&p.Kind, KindModel)
		setDefault(&p.LoadBound, 1.25)
		setDefault(&p.ExpectedOutputTokens, 400)
		setDefault(&p.ColdStartLoad, 2000)
		setDefault(&p.ColdStartSeconds, 60)
		setDefault(&p.SilenceSeconds, 5)
		setDefault(&p.TimeoutSeconds, 120)
		setDefault(&p.RetryPercent, 10)
		setDefault(&p.Objectives.FirstTokenMillis, 440)
		setDefault(&p.Objectives.BetweenTokensMillis, 67)
		setDefault(&p.Objectives.AvailabilityPercent, 99.9)
		setDefault(&p.Objectives.RefusedPercent, 1)
		if len(p.Models) == 0 && p.Kind == KindModel {
			p.Models = []string{string(p.Name)}
		}
	}
	for i := range m.Servers {
		setDefault(&m.Servers[i].Weight, 1)
		setDefault(&m.Servers[i].State, StateIn)
	}
	for i := range m.Accounts {
		setDefault(&m.Accounts[i].Weight, 1)
		if m.Accounts[i].Priority == nil {
			p := 5
			m.Accounts[i].Priority = &p
		}
	}
}

type checker struct {
	at func(table string, index int) int
	ps Problems
}

func (c *checker) addf(table string, index int, format string, args ...any) {
	line := c.at(table, index)
	col := 0
	if line > 0 {
		col = 1
	}
	c.ps = append(c.ps, Problem{line, col, fmt.Sprintf(format, args...)})
}

// unique reports an empty or repeated name and returns whether name is new.
func (c *checker) unique(seen map[string]int, table string, index int, name string) {
	if name == "" {
		c.addf(table, index, "%s has no name", table)
		return
	}
	if first, dup := seen[name]; dup {
		c.addf(table, index, "duplicate %s %q, first declared at line %d", table, name, c.at(table, first))
		return
	}
	seen[name] = index
}

func (m *Manifest) check(at func(string, int) int) Problems {
	c := &checker{at: at}
	if m.Format != 1 {
		c.addf("", 0, "format is %d, accepted value: 1", m.Format)
	}
	if k := m.Fleet.KeepSeconds; k < 1 || k > 600 {
		c.addf("fleet", 0, "keep_seconds is %d, accepted range: 1 to 600", k)
	}
	if n := m.Fleet.WeightLoadsPerMinute; n < 1 || n > 100000 {
		c.addf("fleet", 0, "weight_loads_per_minute is %d, accepted range: 1 to 100000", n)
	}
	dcs, pools := map[string]int{}, map[string]int{}
	for i, d := range m.DataCentres {
		c.unique(dcs, "data_centre", i, string(d.Name))
		if d.Region == "" {
			c.addf("data_centre", i, "data_centre %q has no region", d.Name)
		}
		if d.State != StateIn && d.State != StateOut {
			c.addf("data_centre", i, "state is %q, accepted values: in, out", d.State)
		}
	}
	models := map[string]int{}
	for i := range m.Pools {
		c.unique(pools, "pool", i, string(m.Pools[i].Name))
		c.checkPool(i, &m.Pools[i], models)
		c.checkOrders(i, &m.Pools[i])
	}
	servers := map[string]int{}
	for i := range m.Servers {
		c.unique(servers, "server", i, string(m.Servers[i].Name))
		c.checkServer(i, &m.Servers[i], pools, dcs)
	}
	c.checkAccounts(m.Accounts, pools)
	routes := map[string]int{}
	for i, r := range m.Routes {
		c.unique(routes, "route", i, r.Name)
		if strings.ContainsAny(r.Name, "/?# ") {
			c.addf("route", i, "route %q must not contain /, ?, # or a space", r.Name)
		}
		pi, ok := pools[string(r.Pool)]
		if !ok {
			c.addf("route", i, "route %q names pool %q, which is not declared", r.Name, r.Pool)
		} else if m.Pools[pi].Kind != KindService {
			c.addf("route", i, "route %q names pool %q, whose kind is not service", r.Name, r.Pool)
		}
	}
	return c.ps
}

func (c *checker) checkPool(i int, p *Pool, models map[string]int) {
	if p.Kind != KindModel && p.Kind != KindService {
		c.addf("pool", i, "kind is %q, accepted values: model, service", p.Kind)
	}
	if !(p.LoadBound >= 1 && p.LoadBound <= 100) {
		c.addf("pool", i, "load_bound is %v, accepted range: 1 to 100", p.LoadBound)
	}
	if p.RetryPercent < 0 || p.RetryPercent > 100 {
		c.addf("pool", i, "retry_percent is %d, accepted range: 0 to 100", p.RetryPercent)
	}
	for _, k := range []struct {
		key string
		v   int
	}{
		{"expected_output_tokens", p.ExpectedOutputTokens},
		{"cold_start_load", p.ColdStartLoad},
		{"cold_start_seconds", p.ColdStartSeconds},
		{"silence_seconds", p.SilenceSeconds},
		{"timeout_seconds", p.TimeoutSeconds},
		{"objectives.first_token_ms", p.Objectives.FirstTokenMillis},
		{"objectives.between_tokens_ms", p.Objectives.BetweenTokensMillis},
	} {
		if k.v < 1 || k.v > math.MaxInt32 {
			c.addf("pool", i, "%s is %d, accepted range: 1 to %d", k.key, k.v, math.MaxInt32)
		}
	}
	for _, name := range p.Models {
		if first, dup := models[name]; dup {
			c.addf("pool", i, "model %q is already served by the pool at line %d", name, c.at("pool", first))
		}
		models[name] = i
	}
}

func (c *checker) checkServer(i int, s *Server, pools, dcs map[string]int) {
	if _, ok := pools[string(s.Pool)]; !ok {
		c.addf("server", i, "server %q names pool %q, which is not declared", s.Name, s.Pool)
	}
	if _, ok := dcs[string(s.DataCentre)]; !ok {
		c.addf("server", i, "server %q names data_centre %q, which is not declared", s.Name, s.DataCentre)
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		c.addf("server", i, "address is %q, want an IP address and port such as 10.0.0.1:8000", s.Address)
	}
	if !(s.Weight > 0 && s.Weight <= 100) {
		c.addf("server", i, "weight is %v, accepted range: above 0 to 100", s.Weight)
	}
	if s.State != StateIn && s.State != StateLeaving {
		c.addf("server", i, "state is %q, accepted values: in, leaving", s.State)
	}
	if s.MaxLoadTokens < 0 {
		c.addf("server", i, "max_load_tokens is %d, it must not be negative", s.MaxLoadTokens)
	}
}

func (c *checker) checkAccounts(accounts []Account, pools map[string]int) {
	names, keys := map[string]int{}, map[string]fleet.ClientAccountID{}
	for i, a := range accounts {
		c.unique(names, "account", i, string(a.Name))
		for _, k := range a.KeySHA256 {
			if b, err := hex.DecodeString(k); err != nil || len(b) != 32 {
				c.addf("account", i, "key_sha256 %q is not 64 hex digits", k)
			}
			k = strings.ToLower(k)
			if other, dup := keys[k]; dup {
				c.addf("account", i, "key_sha256 %.8s… is already used by account %q", k, other)
			}
			keys[k] = a.Name
		}
		if !(a.Weight > 0 && a.Weight <= 1e6) {
			c.addf("account", i, "weight is %v, accepted range: above 0 to 1000000", a.Weight)
		}
		if *a.Priority < 0 || *a.Priority > 9 {
			c.addf("account", i, "priority is %d, accepted range: 0 to 9", *a.Priority)
		}
		if a.MaxConcurrent < 0 {
			c.addf("account", i, "max_concurrent is %d, it must not be negative", a.MaxConcurrent)
		}
		for _, p := range a.Pools {
			if _, ok := pools[string(p)]; !ok {
				c.addf("account", i, "account %q names pool %q, which is not declared", a.Name, p)
			}
		}
	}
}

// locate returns a function that gives the line of the header of the index-th
// array table with a name, or 0.
func locate(src []byte) func(table string, index int) int {
	lines := map[string][]int{}
	n := 0
	for line := range bytes.Lines(src) {
		n++
		t := strings.TrimSpace(string(line))
		if !strings.HasPrefix(t, "[") {
			continue
		}
		if cut := strings.IndexByte(t, '#'); cut > 0 {
			t = strings.TrimSpace(t[:cut])
		}
		name := strings.Trim(t, "[] ")
		lines[name] = append(lines[name], n)
	}
	return func(table string, index int) int {
		if l := lines[table]; index < len(l) {
			return l[index]
		}
		return 0
	}
}
