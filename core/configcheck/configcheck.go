// Package configcheck finds what is wrong or can never take effect in an operator's
// configuration before it is sent: entries that no request reaches, limits that contradict
// each other, keys that two accounts hold. It also lists the differences from another
// version. It performs no I/O and holds no state.
package configcheck

import (
	"fmt"
	"slices"
	"strings"
)

// Config is a configuration as written, before the defaults of its consumer.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
}

// Route is an entry of routes. Times are in ms.
type Route struct {
	Name, Host, Prefix, Kind string
	TimeoutMS, TargetMS      float64
	Priority, MaxAttempts    int
	Anonymous, Resumable     bool
	Targets                  []Target
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is an entry of services. ColdSeconds is the duration of a cold start, ColdPerSecond
// the limit of requests to a cold server; 0 means no limit.
type Service struct {
	Name                       string
	MaxConnections             int
	ColdSeconds, ColdPerSecond float64
	Engine                     bool
	Slots, CacheTokens         int
}

// Account is an entry of tenants.
type Account struct {
	Name     string
	Keys     []string
	Priority *int
}

// Limits are those of the fleet that a configuration can contradict.
type Limits struct {
	// RetryBurst is how many router retries the fleet may send beyond its share of requests.
	RetryBurst int
}

// Finding is one thing to mend. Path names the entry, such as routes[2].host.
type Finding struct {
	Path, Rule, Text string
}

// Rules of findings.
const (
	RuleInvalid       = "invalid"
	RuleUnreachable   = "unreachable"
	RuleDuplicate     = "duplicate"
	RuleContradiction = "contradiction"
	RuleVersion       = "version"
)

// Kinds of routes.
var kinds = []string{"idempotent", "non_idempotent", "streaming"}

// checker collects findings.
type checker struct{ findings []Finding }

func (c *checker) add(path, rule, format string, args ...any) {
	c.findings = append(c.findings, Finding{path, rule, fmt.Sprintf(format, args...)})
}

// Check returns the findings of a configuration in the order of its entries.
func Check(cfg *Config, limits Limits) []Finding {
	c := &checker{}
	if cfg.Version == 0 {
		c.add("version", RuleInvalid, "version is missing or 0")
	}
	services := map[string]*Service{}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		c.service(fmt.Sprintf("services[%d]", i), s, services[s.Name] != nil)
		services[s.Name] = s
	}
	used := c.routes(cfg, services, limits)
	for i := range cfg.Services {
		if s := &cfg.Services[i]; !used[s.Name] {
			c.add(fmt.Sprintf("services[%d].name", i), RuleUnreachable, "no route sends requests to service %q", s.Name)
		}
	}
	c.accounts(cfg.Accounts)
	return c.findings
}

func (c *checker) service(path string, s *Service, again bool) {
	if s.Name == "" {
		c.add(path+".name", RuleInvalid, "service has no name")
	} else if again {
		c.add(path+".name", RuleDuplicate, "service %q is declared twice; the last one counts", s.Name)
	}
	for _, n := range []struct {
		field string
		v     float64
	}{{"max_conns", float64(s.MaxConnections)}, {"cold_start_s", s.ColdSeconds}, {"cold_per_s", s.ColdPerSecond}} {
		if n.v < 0 {
			c.add(path+"."+n.field, RuleInvalid, "%s is %v, accepted: 0 and more", n.field, n.v)
		}
	}
	if s.Engine && s.Slots <= 0 {
		c.add(path+".engine.slots", RuleInvalid, "engine of service %q has %d slots", s.Name, s.Slots)
	}
	if s.Engine && s.CacheTokens <= 0 {
		c.add(path+".engine.kv_capacity_tokens", RuleInvalid, "engine of service %q has memory for %d tokens", s.Name, s.CacheTokens)
	}
	if s.ColdPerSecond > 0 && s.ColdSeconds <= 0 {
		c.add(path+".cold_per_s", RuleContradiction, "service %q limits requests to cold servers but has no cold start", s.Name)
	}
}

// routes checks all routes and returns the services that they use.
func (c *checker) routes(cfg *Config, services map[string]*Service, limits Limits) map[string]bool {
	used, names, first := map[string]bool{}, map[string]int{}, map[string]int{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		c.match(path, r)
		if n, ok := names[r.Name]; ok && r.Name != "" {
			c.add(path+".name", RuleDuplicate, "route %q has the same name as routes[%d]", r.Name, n)
		} else {
			names[r.Name] = i
		}
		key := strings.ToLower(r.Host) + " " + r.Prefix
		if n, ok := first[key]; ok {
			c.add(path+".path_prefix", RuleUnreachable, "no request reaches route %q: routes[%d] (%q) has the same host and prefix and comes first", r.Name, n, cfg.Routes[n].Name)
		} else {
			first[key] = i
		}
		c.times(path, r, limits)
		c.targets(path, r, services, used)
	}
	return used
}

// match checks what selects a route.
func (c *checker) match(path string, r *Route) {
	if r.Name == "" {
		c.add(path+".name", RuleInvalid, "route has no name")
	}
	switch {
	case r.Host == "":
		c.add(path+".host", RuleInvalid, "route %q has no host", r.Name)
	case strings.ContainsAny(r.Host, ":/ "):
		c.add(path+".host", RuleUnreachable, "no request reaches route %q: hosts are compared without a port, %q has one or is no host", r.Name, r.Host)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		c.add(path+".path_prefix", RuleUnreachable, "no request reaches route %q: prefix %q does not begin with a slash", r.Name, r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.add(path+".path_prefix", RuleInvalid, "prefix %q of route %q does not end with a slash and would match parts of names", r.Prefix, r.Name)
	}
	if !slices.Contains(kinds, r.Kind) {
		c.add(path+".kind", RuleInvalid, "route %q has kind %q, accepted: %s", r.Name, r.Kind, strings.Join(kinds, ", "))
	}
	if r.Resumable && r.Kind != "streaming" {
		c.add(path+".can_resume", RuleContradiction, "route %q can resume streams but is %s", r.Name, r.Kind)
	}
}

// times checks the limits of a route.
func (c *checker) times(path string, r *Route, limits Limits) {
	if r.TimeoutMS < 0 {
		c.add(path+".timeout_ms", RuleInvalid, "route %q has a timeout of %v ms", r.Name, r.TimeoutMS)
	}
	if r.TargetMS < 0 {
		c.add(path+".target_latency_ms", RuleInvalid, "route %q has a target of %v ms", r.Name, r.TargetMS)
	}
	if r.TimeoutMS > 0 && r.TargetMS > r.TimeoutMS {
		c.add(path+".target_latency_ms", RuleContradiction, "route %q has a target of %v ms above its timeout of %v ms", r.Name, r.TargetMS, r.TimeoutMS)
	}
	switch {
	case r.MaxAttempts < 0:
		c.add(path+".max_attempts", RuleInvalid, "route %q has %d attempts", r.Name, r.MaxAttempts)
	case r.MaxAttempts > 1 && r.MaxAttempts-1 > limits.RetryBurst:
		c.add(path+".max_attempts", RuleContradiction, "route %q allows %d retries of one request, the retry budget of the fleet %d at once", r.Name, r.MaxAttempts-1, limits.RetryBurst)
	}
}

// targets checks the services of a route.
func (c *checker) targets(path string, r *Route, services map[string]*Service, used map[string]bool) {
	sum := 0
	for _, t := range r.Targets {
		sum += max(0, t.Weight)
	}
	for i, t := range r.Targets {
		at := path + ".service"
		if len(r.Targets) > 1 || t.Weight != 1 {
			at = fmt.Sprintf("%s.traffic_split[%d].service", path, i)
		}
		s := services[t.Service]
		switch {
		case s == nil:
			c.add(at, RuleInvalid, "route %q refers to service %q, which is not declared", r.Name, t.Service)
			continue
		case t.Weight < 0:
			c.add(at, RuleInvalid, "route %q gives service %q a weight of %d", r.Name, t.Service, t.Weight)
			continue
		case t.Weight == 0 && sum > 0:
			c.add(at, RuleUnreachable, "route %q sends nothing to service %q: its weight is 0", r.Name, t.Service)
			continue
		}
		used[t.Service] = true
		if gap := 1000 / s.ColdPerSecond; s.ColdPerSecond > 0 && r.TimeoutMS > 0 && gap > r.TimeoutMS {
			c.add(at, RuleContradiction, "a cold server of service %q takes a request each %.0f ms, route %q waits %v ms at most: it cannot carry the route's share", t.Service, gap, r.Name, r.TimeoutMS)
		}
	}
	if sum == 0 && len(r.Targets) > 1 {
		c.add(path+".traffic_split", RuleInvalid, "the weights of route %q are all 0; the first service gets everything", r.Name)
	}
}

// accounts checks the client accounts. Texts never contain keys.
func (c *checker) accounts(list []Account) {
	holders, names := map[string]int{}, map[string]bool{}
	for i, a := range list {
		path := fmt.Sprintf("tenants[%d]", i)
		switch {
		case a.Name == "":
			c.add(path+".name", RuleInvalid, "account has no name")
		case names[a.Name]:
			c.add(path+".name", RuleDuplicate, "account %q is declared twice", a.Name)
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			c.add(path+".name", RuleUnreachable, "no request can belong to account %q: it has no key", a.Name)
		}
		for j, key := range a.Keys {
			at := fmt.Sprintf("%s.api_keys[%d]", path, j)
			n, held := holders[key]
			switch {
			case key == "":
				c.add(at, RuleUnreachable, "account %q has an empty key, which no request can state", a.Name)
			case held && n == i:
				c.add(at, RuleDuplicate, "account %q has this key twice", a.Name)
			case held:
				c.add(at, RuleDuplicate, "account %q has a key of account %q; the last one gets its requests", a.Name, list[n].Name)
			}
			holders[key] = i
		}
	}
}
