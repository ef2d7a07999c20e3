package manifest

import (
	"maps"
	"slices"
	"strings"
)

// checkEngineState checks the wanted state of a pool's engines.
func (c *checker) checkEngineState(i int, p *Pool) {
	if p.Kind == KindService && (len(p.Versions) > 0 || len(p.Adapters) > 0 || p.Role != "") {
		c.reportf("pool", i, "kind", "pool %q is of kind service and takes no versions, adapters or role", p.Name)
	}
	for _, model := range slices.Sorted(maps.Keys(p.Versions)) {
		if !slices.Contains(p.Models, model) {
			c.reportf("pool", i, "versions", "versions names model %q, which the pool does not serve", model)
		}
		if p.Versions[model] == "" {
			c.reportf("pool", i, "versions", "versions gives no version for model %q", model)
		}
	}
	seen := map[string]bool{}
	for _, a := range p.Adapters {
		name, version, ok := strings.Cut(a, "@")
		if !ok || name == "" || version == "" {
			c.reportf("pool", i, "adapters", "adapter is %q, want name@version", a)
		}
		if seen[name] {
			c.reportf("pool", i, "adapters", "adapter %q is listed twice", name)
		}
		seen[name] = true
	}
	switch p.Role {
	case "", "prefill", "decode", "both":
	default:
		c.reportf("pool", i, "role", "role is %q, accepted values: prefill, decode, both", p.Role)
	}
}
