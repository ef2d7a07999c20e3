// Package orders compares the desired state of a pool's engines with the state they
// report, and computes the orders that reconcile them. The only state it keeps is
// the unconfirmed orders, which belong to the holder of the pool's lease.
package orders

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// ResendAfter is the time after which an order that no report confirms is sent
// again. Reports lag by seconds, and loading weights takes longer.
const ResendAfter = 30 * time.Second

// Item is one version of a model or of an adapter of a model.
type Item struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

func (i Item) key() string { return i.Model + "\x00" + i.Adapter }

// Order is the complete desired state of an engine, so it is idempotent.
type Order struct {
	Fencing uint64 `json:"fencing"`
	// Items are the items to load. The engine unloads all others.
	Items []Item `json:"items"`
	Role  string `json:"role,omitempty"`
}

// Report is the state that an engine reports.
type Report struct {
	Engine      fleet.ServerID `json:"engine"`
	Incarnation int64          `json:"incarnation"`
	Items       []Item         `json:"items"`
	Role        string         `json:"role"`
}

// DesiredState is the desired state of each engine of a pool.
type DesiredState struct {
	Items []Item
	Role  string
}

// DesiredStateOf returns the desired state that the manifest declares for a pool,
// and whether it declares one.
func DesiredStateOf(p *manifest.Pool) (DesiredState, bool) {
	if p.Kind != manifest.KindModel || len(p.Versions) == 0 && len(p.Adapters) == 0 && p.Role == "" {
		return DesiredState{}, false
	}
	w := DesiredState{Role: p.Role}
	for _, m := range p.Models {
		w.Items = append(w.Items, Item{Model: m, Version: p.Versions[m]})
		for _, a := range p.Adapters {
			name, version, _ := strings.Cut(a, "@")
			w.Items = append(w.Items, Item{Model: m, Adapter: name, Version: version})
		}
	}
	return w, true
}

// Step is the difference between an engine's reported and desired state.
type Step struct {
	// Needed is set if the report differs from the desired state.
	Needed bool
	// Loads is the number of items to load from the weight store.
	Loads   int
	loaded  []Item // items that are reported and desired
	missing []Item
	role    string
}

// Compare returns the step from a report to the desired state. An item without a
// desired version matches any version.
func Compare(w DesiredState, r Report) Step {
	s := Step{role: w.Role, Needed: w.Role != "" && w.Role != r.Role}
	wanted := map[string]bool{}
	for _, i := range w.Items {
		wanted[i.key()] = true
		k := slices.IndexFunc(r.Items, func(loaded Item) bool { return loaded.key() == i.key() })
		if k >= 0 && (i.Version == "" || r.Items[k].Version == i.Version) {
			s.loaded = append(s.loaded, r.Items[k])
			continue
		}
		s.missing = append(s.missing, i)
	}
	s.Loads = len(s.missing)
	s.Needed = s.Needed || s.Loads > 0
	for _, i := range r.Items {
		s.Needed = s.Needed || !wanted[i.key()]
	}
	return s
}

// Order returns the order for a step, with up to granted loads. An item whose new
// version is not granted yet stays loaded in its old version.
func (s Step) Order(r Report, granted int) Order {
	o := Order{Items: slices.Clone(s.loaded), Role: s.role}
	for n, i := range s.missing {
		if n < granted {
			o.Items = append(o.Items, i)
			continue
		}
		for _, loaded := range r.Items {
			if loaded.key() == i.key() {
				o.Items = append(o.Items, loaded)
			}
		}
	}
	slices.SortFunc(o.Items, func(a, b Item) int { return cmp.Compare(a.key(), b.key()) })
	return o
}

// DiffersFrom reports whether the order's state differs from the reported state.
func (o Order) DiffersFrom(r Report) bool {
	have := slices.Clone(r.Items)
	slices.SortFunc(have, func(a, b Item) int { return cmp.Compare(a.key(), b.key()) })
	return !slices.Equal(have, o.Items) || o.Role != "" && o.Role != r.Role
}

// UnconfirmedOrders holds the last order sent to each engine, until a report
// shows its effect.
type UnconfirmedOrders struct {
	last map[fleet.ServerID]unconfirmedOrder
}

type unconfirmedOrder struct {
	order       Order
	want        DesiredState
	incarnation int64
	at          time.Time
}

// Due reports whether a needed order should be sent: no order is unconfirmed, the
// last one was for another desired state or incarnation of the engine, or it was
// sent at least ResendAfter ago.
func (s *UnconfirmedOrders) Due(r Report, w DesiredState, now time.Time) bool {
	last, ok := s.last[r.Engine]
	return !ok || last.incarnation != r.Incarnation || now.Sub(last.at) >= ResendAfter ||
		last.want.Role != w.Role || !slices.Equal(last.want.Items, w.Items) || !last.order.DiffersFrom(r)
}

// Record stores an order that was sent.
func (s *UnconfirmedOrders) Record(r Report, w DesiredState, o Order, now time.Time) {
	if s.last == nil {
		s.last = map[fleet.ServerID]unconfirmedOrder{}
	}
	s.last[r.Engine] = unconfirmedOrder{o, w, r.Incarnation, now}
}
