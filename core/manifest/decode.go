package manifest

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/tomlpos"
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
	c := &checker{src: src}
	c.checkExplicitZeros()
	m.applyDefaults()
	if m.check(c); len(c.problems) > 0 {
		slices.SortStableFunc(c.problems, func(a, b Problem) int {
			return cmp.Or(a.Line-b.Line, a.Column-b.Column, strings.Compare(a.Message, b.Message))
		})
		return nil, result.Wrap(result.ManifestInvalid, c.problems, "manifest has %s", errorCount(len(c.problems)))
	}
	return &m, nil
}

func errorCount(n int) string {
	if n == 1 {
		return "1 error"
	}
	return fmt.Sprintf("%d errors", n)
}

func decodeProblems(err error) Problems {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var ps Problems
		for _, e := range strict.Errors {
			row, col := e.Position()
			ps = append(ps, Problem{row, col, unknownKeyMessage(e.Key())})
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
	setDefault(&m.Fleet.LookupTTLSeconds, 20)
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

// checker collects problems. Positions are looked up only when there is one,
// because a large manifest has tens of thousands of keys.
type checker struct {
	src      []byte
	doc      *tomlpos.Document
	problems Problems
}

func (c *checker) document() *tomlpos.Document {
	if c.doc == nil {
		c.doc = tomlpos.Parse(c.src)
	}
	return c.doc
}

// reportAt reports a problem at the first of the paths that the document has.
func (c *checker) reportAt(paths []string, format string, args ...any) {
	line, col := c.document().Position(paths...)
	c.problems = append(c.problems, Problem{line, col, fmt.Sprintf(format, args...)})
}

// reportf reports a problem at a key of the index-th entry of a table, or at the
// entry when the key is not set.
func (c *checker) reportf(table string, index int, key, format string, args ...any) {
	c.reportAt(keyPaths(table, index, key), format, args...)
}

func (c *checker) lineOf(table string, index int) int {
	line, _ := c.document().Position(tomlpos.ElementPath(table, index, ""))
	return line
}

// nonZeroKeys are the keys whose zero value means that they are not set, so
// that a written 0 would silently become the default.
var nonZeroKeys = map[string]bool{
	"keep_seconds": true, "weight_loads_per_minute": true, "load_bound": true, "expected_output_tokens": true, "cold_start_load": true,
	"cold_start_seconds": true, "silence_seconds": true, "timeout_seconds": true, "retry_percent": true,
	"first_token_ms": true, "between_tokens_ms": true, "availability_percent": true, "refused_percent": true,
	"weight": true, "state": true, "kind": true,
}

// checkExplicitZeros reports a written 0 or "" where only an absent key means the default.
func (c *checker) checkExplicitZeros() {
	tomlpos.Walk(c.src, func(p tomlpos.Entry) {
		key := p.Path[strings.LastIndexByte(p.Path, '.')+1:]
		if p.IsZero && nonZeroKeys[key] {
			line, col := c.document().Position(p.Path)
			c.problems = append(c.problems, Problem{line, col, key + " must not be 0 or empty; leave the key out for its default"})
		}
	})
}

// checkUniqueName reports an empty or repeated name and returns whether name is new.
func (c *checker) checkUniqueName(seen map[string]int, table string, index int, name string) bool {
	if name == "" {
		c.reportf(table, index, "name", "%s has no name", table)
		return false
	}
	if first, dup := seen[name]; dup {
		c.reportf(table, index, "name", "duplicate %s %q, first declared at line %d", table, name, c.lineOf(table, first))
		return false
	}
	seen[name] = index
	return true
}

func (m *Manifest) check(c *checker) {
	if m.Format != 1 {
		c.reportAt([]string{"format"}, "format is %d, accepted value: 1", m.Format)
	}
	c.checkFleetNumber("weight_loads_per_minute", float64(m.Fleet.WeightLoadsPerMinute))
	c.checkFleetNumber("keep_seconds", float64(m.Fleet.LookupTTLSeconds))
	dcs, pools := map[string]int{}, map[string]int{}
	for i, d := range m.DataCentres {
		c.checkUniqueName(dcs, "data_centre", i, string(d.Name))
		if d.Region == "" {
			c.reportf("data_centre", i, "region", "data_centre %q has no region", d.Name)
		}
		if d.State != StateIn && d.State != StateOut {
			c.reportf("data_centre", i, "state", "state is %q, accepted values: in, out", d.State)
		}
	}
	models := map[string]int{}
	for i := range m.Pools {
		if c.checkUniqueName(pools, "pool", i, string(m.Pools[i].Name)) {
			c.checkPool(i, &m.Pools[i], models)
			c.checkEngineState(i, &m.Pools[i])
		}
	}
	servers := map[string]int{}
	for i := range m.Servers {
		c.checkUniqueName(servers, "server", i, string(m.Servers[i].Name))
		c.checkServer(i, &m.Servers[i], pools, dcs)
	}
	c.checkAccounts(m.Accounts, pools)
	routes := map[string]int{}
	for i, r := range m.Routes {
		c.checkUniqueName(routes, "route", i, r.Name)
		if strings.ContainsAny(r.Name, "/?# ") {
			c.reportf("route", i, "name", "route %q must not contain /, ?, # or a space", r.Name)
		}
		pi, ok := pools[string(r.Pool)]
		if !ok {
			c.reportf("route", i, "pool", "route %q names pool %q, which is not declared", r.Name, r.Pool)
		} else if m.Pools[pi].Kind != KindService {
			c.reportf("route", i, "pool", "route %q names pool %q, whose kind is not service", r.Name, r.Pool)
		}
	}
}

func (c *checker) checkPool(i int, p *Pool, models map[string]int) {
	if p.Kind != KindModel && p.Kind != KindService {
		c.reportf("pool", i, "kind", "kind is %q, accepted values: model, service", p.Kind)
	}
	o := p.Objectives
	for key, v := range map[string]float64{
		"load_bound":                      p.LoadBound,
		"expected_output_tokens":          float64(p.ExpectedOutputTokens),
		"cold_start_load":                 float64(p.ColdStartLoad),
		"cold_start_seconds":              float64(p.ColdStartSeconds),
		"silence_seconds":                 float64(p.SilenceSeconds),
		"timeout_seconds":                 float64(p.TimeoutSeconds),
		"retry_percent":                   float64(p.RetryPercent),
		"objectives.first_token_ms":       float64(o.FirstTokenMillis),
		"objectives.between_tokens_ms":    float64(o.BetweenTokensMillis),
		"objectives.availability_percent": o.AvailabilityPercent,
		"objectives.refused_percent":      o.RefusedPercent,
	} {
		c.checkNumber("pool", i, key, v)
	}
	for _, name := range p.Models {
		if first, dup := models[name]; dup {
			c.reportf("pool", i, "models", "model %q is already served by the pool at line %d", name, c.lineOf("pool", first))
		}
		models[name] = i
	}
}

func (c *checker) checkServer(i int, s *Server, pools, dcs map[string]int) {
	if _, ok := pools[string(s.Pool)]; !ok {
		c.reportf("server", i, "pool", "server %q names pool %q, which is not declared", s.Name, s.Pool)
	}
	if _, ok := dcs[string(s.DataCentre)]; !ok {
		c.reportf("server", i, "data_centre", "server %q names data_centre %q, which is not declared", s.Name, s.DataCentre)
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		c.reportf("server", i, "address", "address is %q, want an IP address and port such as 10.0.0.1:8000", s.Address)
	}
	c.checkNumber("server", i, "weight", s.Weight)
	c.checkNumber("server", i, "max_load_tokens", float64(s.MaxLoadTokens))
	c.checkNumber("server", i, "cache_tokens", float64(s.CacheTokens))
	if s.State != StateIn && s.State != StateLeaving {
		c.reportf("server", i, "state", "state is %q, accepted values: in, leaving", s.State)
	}
}

func (c *checker) checkAccounts(accounts []Account, pools map[string]int) {
	names, keys := map[string]int{}, map[string]fleet.ClientAccountID{}
	for i, a := range accounts {
		c.checkUniqueName(names, "account", i, string(a.Name))
		for _, k := range a.KeySHA256 {
			if b, err := hex.DecodeString(k); err != nil || len(b) != 32 {
				c.reportf("account", i, "key_sha256", "key_sha256 %q is not 64 hex digits", k)
			}
			k = strings.ToLower(k)
			if other, dup := keys[k]; dup {
				c.reportf("account", i, "key_sha256", "key_sha256 %.8s… is already used by account %q", k, other)
			}
			keys[k] = a.Name
		}
		c.checkNumber("account", i, "weight", a.Weight)
		c.checkNumber("account", i, "priority", float64(*a.Priority))
		c.checkNumber("account", i, "max_concurrent", float64(a.MaxConcurrent))
		for _, p := range a.Pools {
			if _, ok := pools[string(p)]; !ok {
				c.reportf("account", i, "pools", "account %q names pool %q, which is not declared", a.Name, p)
			}
		}
	}
}
