package model

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"
)

// Item is one loaded model or adapter.
type Item struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// Order is an order that took effect.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Items   []Item `json:"items"`
	Role    string `json:"role"`
}

// orderState is what orders have made of an engine.
type orderState struct {
	mu      sync.Mutex
	items   []Item
	role    string
	highest uint64
	applied []Order
	refused int
}

// AppliedOrders returns the orders that took effect, and how many were refused for
// their fencing number.
func (e *Engine) AppliedOrders() ([]Order, int) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return slices.Clone(e.orders.applied), e.orders.refused
}

// LoadedItems returns the loaded items and the role.
func (e *Engine) LoadedItems() ([]Item, string) {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return slices.Clone(e.orders.items), e.orders.role
}

// handleOrders applies the wanted state that the order names. An engine that
// checks fencing numbers refuses a number below the highest one seen.
func (e *Engine) handleOrders(ctx *fasthttp.RequestCtx) {
	var o Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.SetStatusCode(400)
		return
	}
	s := &e.orders
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.cfg.ChecksFencing && o.Fencing < s.highest {
		s.refused++
		ctx.SetStatusCode(409)
		return
	}
	s.highest = max(s.highest, o.Fencing)
	for _, i := range o.Items {
		if !slices.Contains(s.items, i) && !e.loadItem(i) {
			ctx.SetStatusCode(503)
			return
		}
	}
	s.items, s.applied = o.Items, append(s.applied, o)
	if o.Role != "" {
		s.role = o.Role
	}
}

// loadItem loads an item from the weight store, if the engine has one.
func (e *Engine) loadItem(i Item) bool {
	if e.cfg.WeightStore == "" {
		return true
	}
	resp, err := http.Get(e.cfg.WeightStore + "/weights?item=" + url.QueryEscape(i.Model+":"+i.Adapter+"@"+i.Version))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}
