package routing

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// Filter excludes servers that must not receive new work.
type Filter interface {
	// Rule returns the name of the filter in explanations.
	Rule() string
	// Keep reports whether the server may receive work.
	Keep(s *manifest.Server) bool
}

// LeavingFilter excludes servers that are leaving.
type LeavingFilter struct{}

// Rule implements Filter.
func (LeavingFilter) Rule() string { return "server_leaving" }

// Keep implements Filter.
func (LeavingFilter) Keep(s *manifest.Server) bool { return s.State == manifest.StateIn }

// DataCentreFilter excludes servers in data centres that are out of service.
type DataCentreFilter struct{ Index *manifest.Index }

// Rule implements Filter.
func (DataCentreFilter) Rule() string { return "data_centre_out" }

// Keep implements Filter.
func (f DataCentreFilter) Keep(s *manifest.Server) bool {
	dc := f.Index.DataCentre(s.DataCentre)
	return dc != nil && dc.State == manifest.StateIn
}

// RegionFilter excludes servers in regions without a reachable admitting instance,
// because no instance could grant their load.
type RegionFilter struct {
	Index     *manifest.Index
	Reachable map[fleet.RegionID]bool
}

// Rule implements Filter.
func (RegionFilter) Rule() string { return "region_unreachable" }

// Keep implements Filter.
func (f RegionFilter) Keep(s *manifest.Server) bool {
	if f.Reachable == nil {
		return true
	}
	dc := f.Index.DataCentre(s.DataCentre)
	return dc != nil && f.Reachable[dc.Region]
}

// ReturnFilter excludes the servers of a data centre that returned to service for the
// chats that have not moved back yet. The caches of the data centre are cold, so
// chats move back in hash order, spread evenly over Ramp.
type ReturnFilter struct {
	Ramp time.Duration
	Now  time.Time
	chat fleet.ChatKey
}

// Rule returns the name of the filter in explanations.
func (ReturnFilter) Rule() string { return "data_centre_returning" }

// Keep reports whether the chat may use the data centre with hash dc, which returned
// to service at back.
func (f ReturnFilter) Keep(dc uint64, back time.Time) bool {
	if back.IsZero() || f.Ramp <= 0 {
		return true
	}
	age := f.Now.Sub(back)
	if age >= f.Ramp {
		return true
	}
	// The top 32 bits are precise enough to place a chat within the ramp.
	place := float64(fleet.Mix(uint64(f.chat), dc)>>32) / (1 << 32)
	return place < float64(age)/float64(f.Ramp)
}
