package configcheck

import (
	"fmt"
	"reflect"
	"slices"
)

// Change is a difference from another version. What is added, removed or changed; Detail
// names the fields. Keys of accounts are counted, not shown.
type Change struct {
	What   string `json:"what"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
}

// Against returns the differences from the version in force, and a finding if the new version
// would not replace it.
func Against(cfg, old *Config) ([]Change, []Finding) {
	var c checker
	if cfg.Version <= old.Version {
		c.add("version", RuleVersion, "version %d does not replace version %d, which is in force", cfg.Version, old.Version)
	}
	out := diff("route", old.Routes, cfg.Routes, func(r *Route) string { return r.Name }, fields)
	out = append(out, diff("service", old.Services, cfg.Services, func(s *Service) string { return s.Name }, fields)...)
	out = append(out, diff("account", old.Accounts, cfg.Accounts, func(a *Account) string { return a.Name }, accountChange)...)
	return out, c.findings
}

// diff compares two lists by name.
func diff[T any](kind string, old, list []T, name func(*T) string, detail func(old, x *T) string) []Change {
	before := map[string]*T{}
	for i := range old {
		before[name(&old[i])] = &old[i]
	}
	var out []Change
	seen := map[string]bool{}
	for i := range list {
		n := name(&list[i])
		was := before[n]
		seen[n] = true
		if was == nil {
			out = append(out, Change{"added", kind, n, ""})
		} else if !reflect.DeepEqual(*was, list[i]) {
			out = append(out, Change{"changed", kind, n, detail(was, &list[i])})
		}
	}
	for i := range old {
		if n := name(&old[i]); !seen[n] {
			out = append(out, Change{"removed", kind, n, ""})
		}
	}
	return out
}

// fields names the fields that differ, with both values.
func fields[T any](old, x *T) string {
	a, b := reflect.ValueOf(*old), reflect.ValueOf(*x)
	text := ""
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			if text != "" {
				text += ", "
			}
			text += fmt.Sprintf("%s %v -> %v", a.Type().Field(i).Name, a.Field(i), b.Field(i))
		}
	}
	return text
}

// accountChange describes a changed account without its keys.
func accountChange(old, x *Account) string {
	added, removed := 0, 0
	for _, k := range x.Keys {
		if !slices.Contains(old.Keys, k) {
			added++
		}
	}
	for _, k := range old.Keys {
		if !slices.Contains(x.Keys, k) {
			removed++
		}
	}
	text := fmt.Sprintf("%d keys added, %d removed", added, removed)
	if !reflect.DeepEqual(old.Priority, x.Priority) {
		text += ", priority"
	}
	return text
}
