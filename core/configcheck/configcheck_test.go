package configcheck

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// valid returns a configuration without findings.
func valid() *Config {
	return &Config{
		Version:  2,
		Services: []Service{{Name: "s", MaxConnections: 10, ColdSeconds: 3, ColdPerSecond: 2}, {Name: "e", Engine: true, Slots: 4, CacheTokens: 100}},
		Routes: []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Kind: "idempotent", TimeoutMS: 600, TargetMS: 120, MaxAttempts: 2, Targets: []Target{{"s", 1}}},
			{Name: "b", Host: "h", Prefix: "/a/b/", Kind: "streaming", Resumable: true, TimeoutMS: 4000, TargetMS: 400, Targets: []Target{{"s", 3}, {"e", 1}}},
		},
		Accounts: []Account{{Name: "t", Keys: []string{"k1", "k2"}}, {Name: "u", Keys: []string{"k3"}}},
	}
}

// Guards against configurations that are sent although a part of them cannot take effect, and
// against findings in good ones. Each line of a case breaks one thing.
func TestFindings(t *testing.T) {
	breaks := map[string]func(c *Config){
		"none": func(*Config) {}, "longer prefix first": func(c *Config) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] },
		"version": func(c *Config) { c.Version = 0 }, "same prefix": func(c *Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/a/", "H" },
		"same name": func(c *Config) { c.Routes[1].Name = "a" }, "host with port": func(c *Config) { c.Routes[0].Host = "h:80" },
		"no slash": func(c *Config) { c.Routes[0].Prefix = "a/" }, "open prefix": func(c *Config) { c.Routes[0].Prefix = "/a" },
		"kind": func(c *Config) { c.Routes[0].Kind = "stream" }, "resume": func(c *Config) { c.Routes[1].Kind = "idempotent" },
		"target": func(c *Config) { c.Routes[0].TargetMS = 700 }, "attempts": func(c *Config) { c.Routes[0].MaxAttempts = 32 },
		"cold rate":       func(c *Config) { c.Services[0].ColdPerSecond = 1 },
		"cold without":    func(c *Config) { c.Services[0].ColdSeconds = 0 },
		"unused":          func(c *Config) { c.Routes[1].Targets = c.Routes[1].Targets[:1] },
		"weight 0":        func(c *Config) { c.Routes[1].Targets[1].Weight = 0 },
		"unknown service": func(c *Config) { c.Routes[0].Targets[0].Service = "x" },
		"service twice":   func(c *Config) { c.Services = append(c.Services, c.Services[0]) },
		"slots":           func(c *Config) { c.Services[1].Slots = 0 },
		"key of other":    func(c *Config) { c.Accounts[1].Keys[0] = "k1" }, "key twice": func(c *Config) { c.Accounts[0].Keys[1] = "k1" },
		"no key": func(c *Config) { c.Accounts[1].Keys = nil },
	}
	datadriven.RunTest(t, "testdata/findings", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, name := range strings.Split(d.Input, "\n") {
			c := valid()
			if breaks[name] == nil {
				t.Fatalf("unknown case %q", name)
			}
			breaks[name](c)
			delete(breaks, name)
			for _, f := range Check(c, Limits{RetryBurst: 30}) {
				fmt.Fprintf(&out, "%s: %s: %s: %s\n", name, f.Path, f.Rule, f.Text)
			}
		}
		return out.String()
	})
	if len(breaks) > 0 {
		t.Errorf("not played: %v", breaks)
	}
}

// Guards against keys in the output, and against a difference that is missed or found between
// equal versions.
func TestAgainst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, c := valid(), valid()
		c.Version = rapid.Uint64Range(1, 4).Draw(t, "version")
		want := map[string]bool{}
		if rapid.Bool().Draw(t, "route") {
			c.Routes[0].TimeoutMS++
			want["changed route a"] = true
		}
		if rapid.Bool().Draw(t, "service") {
			c.Services[1].Name = "f"
			want["added service f"], want["removed service e"] = true, true
		}
		if rapid.Bool().Draw(t, "key") {
			c.Accounts[0].Keys[0] = "secret-key"
			want["changed account t"] = true
		}
		changes, findings := Against(c, old)
		if (len(findings) > 0) != (c.Version <= old.Version) || len(changes) != len(want) {
			t.Fatalf("version %d: %v, changes %v, want %v", c.Version, findings, changes, want)
		}
		for _, x := range changes {
			if !want[x.What+" "+x.Kind+" "+x.Name] || strings.Contains(x.Detail, "secret-key") {
				t.Fatalf("change %+v", x)
			}
		}
	})
}
