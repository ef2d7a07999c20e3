// Package orders compares the wanted state of a pool's engines with what they
// report, and gives the orders that lead there. It keeps no state but the times
// of unanswered orders, which belongs to the holder of the pool's lease.
package orders

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// ResendAfter is how long a report may lag behind an order before the order is
// sent again. Reports lag by seconds, and loading weights takes longer.
const ResendAfter = 30 * time.Second

// Item is one model, or one adapter of a model, in one version.
type Item struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

func (i Item) name() string { return i.Model + "\x00" + i.Adapter }

// Order states the whole wanted state of an engine, so that it can be repeated.
type Order struct {
	Fencing uint64 `json:"fencing"`
	// Items are to be loaded; others are to be unloaded.
	Items []Item `json:"items"`
	Role  string `json:"role,omitempty"`
}

// Report is what an engine says about itself.
type Report struct {
	Engine      fleet.ServerID `json:"engine"`
	Incarnation int64          `json:"incarnation"`
	Items       []Item         `json:"items"`
	Role        string         `json:"role"`
}

// DesiredState is the wanted state of each engine of a pool.
type DesiredState struct {
	Items []Item
	Role  string
}

// DesiredStateOf returns the wanted state that the manifest declares for a pool, and
// whether it declares one.
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

// Step is the next order for an engine, if any.
type Step struct {
	// Needed says that the report differs from the wanted state.
	Needed bool
	// Loads is the number of items that the weight store must deliver.
	Loads int
	have  []Item // reported and wanted
	loads []Item
	role  string
}

// Compare returns the step from a report to the wanted state. An item without a
// wanted version is satisfied by any.
func Compare(w DesiredState, r Report) Step {
	s := Step{role: w.Role, Needed: w.Role != "" && w.Role != r.Role}
	wanted := map[string]bool{}
	for _, i := range w.Items {
		wanted[i.name()] = true
		k := slices.IndexFunc(r.Items, func(have Item) bool { return have.name() == i.name() })
		if k >= 0 && (i.Version == "" || r.Items[k].Version == i.Version) {
			s.have = append(s.have, r.Items[k])
			continue
		}
		s.loads = append(s.loads, i)
	}
	s.Loads = len(s.loads)
	s.Needed = s.Needed || s.Loads > 0
	for _, i := range r.Items {
		s.Needed = s.Needed || !wanted[i.name()]
	}
	return s
}

// Order returns the order of a step with as many loads as the weight store's
// rate allows. An item whose new version must wait stays loaded in its old one.
func (s Step) Order(r Report, granted int) Order {
	o := Order{Items: slices.Clone(s.have), Role: s.role}
	for n, i := range s.loads {
		if n < granted {
			o.Items = append(o.Items, i)
			continue
		}
		for _, have := range r.Items {
			if have.name() == i.name() {
				o.Items = append(o.Items, have)
			}
		}
	}
	slices.SortFunc(o.Items, func(a, b Item) int { return cmp.Compare(a.name(), b.name()) })
	return o
}

// DiffersFrom reports whether the order asks for another state than the report.
func (o Order) DiffersFrom(r Report) bool {
	have := slices.Clone(r.Items)
	slices.SortFunc(have, func(a, b Item) int { return cmp.Compare(a.name(), b.name()) })
	return !slices.Equal(have, o.Items) || o.Role != "" && o.Role != r.Role
}

// UnconfirmedOrders remembers the orders whose effect no report shows yet.
type UnconfirmedOrders struct {
	last map[fleet.ServerID]sentOrder
}

type sentOrder struct {
	order       Order
	want        DesiredState
	incarnation int64
	at          time.Time
}

// Due reports whether a needed order may be sent: none is unanswered, or the
// last one was for other wants or another life of the engine, or it is overdue.
func (s *UnconfirmedOrders) Due(r Report, w DesiredState, now time.Time) bool {
	last, ok := s.last[r.Engine]
	return !ok || last.incarnation != r.Incarnation || now.Sub(last.at) >= ResendAfter ||
		last.want.Role != w.Role || !slices.Equal(last.want.Items, w.Items) || !last.order.DiffersFrom(r)
}

// Record records an order that was sent.
func (s *UnconfirmedOrders) Record(r Report, w DesiredState, o Order, now time.Time) {
	if s.last == nil {
		s.last = map[fleet.ServerID]sentOrder{}
	}
	s.last[r.Engine] = sentOrder{o, w, r.Incarnation, now}
}
