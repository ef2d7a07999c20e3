// Package manifest defines the operators' declaration of a fleet: its data
// centres, pools, backend servers, client accounts and service routes. It
// decodes and checks the TOML form and compares versions. A Manifest is
// immutable once decoded.
package manifest

import "cyclamenhitch/core/fleet"

// Manifest is one accepted or proposed declaration.
type Manifest struct {
	// Format is the version of the manifest format; it must be 1. Required.
	Format      int          `toml:"format"`
	Fleet       Fleet        `toml:"fleet"`
	DataCentres []DataCentre `toml:"data_centre"`
	Pools       []Pool       `toml:"pool"`
	Servers     []Server     `toml:"server"`
	Accounts    []Account    `toml:"account"`
	Routes      []Route      `toml:"route"`
}

// Fleet holds settings of the whole router fleet.
type Fleet struct {
	// Name describes the fleet; it has no effect.
	Name string `toml:"name"`
	// LookupTTLSeconds is how long callers may keep a lookup answer, in seconds.
	// Default 20, range 1 to 600.
	LookupTTLSeconds int `toml:"keep_seconds"`
	// WeightLoadsPerMinute is the weight store's rate for the whole fleet, in
	// models or adapters per minute. Default 60, range 1 to 100000.
	WeightLoadsPerMinute int `toml:"weight_loads_per_minute"`
}

// Data centre states.
const (
	StateIn  = "in"
	StateOut = "out"
	// StateLeaving marks a server that receives no new work.
	StateLeaving = "leaving"
)

// DataCentre declares one data centre.
type DataCentre struct {
	// Name identifies the data centre. Required.
	Name fleet.DataCentreID `toml:"name"`
	// Region is the region of the data centre; engines are admitted to by
	// instances of their region. Required.
	Region fleet.RegionID `toml:"region"`
	// State is "in" or "out". Servers of a data centre that is out receive no
	// new work. Default in.
	State string `toml:"state"`
}

// Pool kinds.
const (
	KindModel   = "model"
	KindService = "service"
)

// Pool declares a set of backend servers that serve the same models or service.
type Pool struct {
	// Name identifies the pool. Required.
	Name fleet.PoolID `toml:"name"`
	// Kind is "model" or "service". Default model.
	Kind string `toml:"kind"`
	// Models lists the model names that callers may ask for. Default: the pool's name.
	Models []string `toml:"models"`
	// Versions gives the wanted version of models, by model name. A pool that
	// sets none of versions, adapters and role receives no orders.
	Versions map[string]string `toml:"versions"`
	// Adapters lists adapters to load with each model, as "name@version".
	Adapters []string `toml:"adapters"`
	// Role is the wanted role of the engines: "prefill", "decode" or "both".
	Role string `toml:"role"`
	// LoadBound is the multiple of the pool's mean load that no engine exceeds.
	// Default 1.25, minimum 1.
	LoadBound float64 `toml:"load_bound"`
	// ExpectedOutputTokens caps what a request's max_tokens counts as load,
	// in tokens. Default 400.
	ExpectedOutputTokens int `toml:"expected_output_tokens"`
	// ColdStartLoad is the load that a cold engine may carry at first, in
	// tokens. Default 2000.
	ColdStartLoad int `toml:"cold_start_load"`
	// ColdStartSeconds is how long the ramp to the full bound takes. Default 60.
	ColdStartSeconds int `toml:"cold_start_seconds"`
	// SilenceSeconds is how long a stream may stay silent before it is
	// probed. Default 5.
	SilenceSeconds int `toml:"silence_seconds"`
	// TimeoutSeconds is the longest time for one request. Default 120.
	TimeoutSeconds int `toml:"timeout_seconds"`
	// RetryPercent is the retry budget as a percentage of requests. Default 10.
	RetryPercent int `toml:"retry_percent"`
	// Objectives are the service-level objectives.
	Objectives Objectives `toml:"objectives"`
}

// Objectives are the service-level objectives of a pool.
type Objectives struct {
	// FirstTokenMillis is the time to the first token that 95 in 100 streams keep. Default 440.
	FirstTokenMillis int `toml:"first_token_ms"`
	// BetweenTokensMillis is the mean time between tokens that 95 in 100 streams keep. Default 67.
	BetweenTokensMillis int `toml:"between_tokens_ms"`
	// AvailabilityPercent is the share of requests answered whole. Default 99.9.
	AvailabilityPercent float64 `toml:"availability_percent"`
	// RefusedPercent is the largest share of refused requests. Default 1.
	RefusedPercent float64 `toml:"refused_percent"`
}

// Server declares one backend server.
type Server struct {
	// Name identifies the server. Required.
	Name fleet.ServerID `toml:"name"`
	// Pool is the pool that the server belongs to. Required.
	Pool fleet.PoolID `toml:"pool"`
	// DataCentre is the data centre that the server is in. Required.
	DataCentre fleet.DataCentreID `toml:"data_centre"`
	// Address is an IP address and a TCP port. Required.
	Address string `toml:"address"`
	// Weight scales the server's share. Default 1, range above 0 to 100.
	Weight float64 `toml:"weight"`
	// State is "in" or "leaving". A leaving server receives no new work. Default in.
	State string `toml:"state"`
	// MaxLoadTokens is an absolute cap on the load, in tokens; 0 means none.
	MaxLoadTokens int `toml:"max_load_tokens"`
	// CacheTokens is how many prompt tokens the engine caches; 0 means that its
	// load report says so, or that it is learned from the reports.
	CacheTokens int `toml:"cache_tokens"`
	// ChecksFencing says that the engine refuses orders with an old fencing number.
	ChecksFencing bool `toml:"checks_fencing"`
}

// Account declares one client account.
type Account struct {
	// Name identifies the client account. Required.
	Name fleet.ClientAccountID `toml:"name"`
	// KeySHA256 lists hex SHA-256 hashes of the account's bearer keys.
	KeySHA256 []string `toml:"key_sha256"`
	// Weight is the account's share against other accounts. Default 1.
	Weight float64 `toml:"weight"`
	// Priority orders waiting requests, 0 (lowest) to 9. Default 5.
	Priority *int `toml:"priority"`
	// MaxConcurrent caps running requests over the whole fleet; 0 means none.
	MaxConcurrent int `toml:"max_concurrent"`
	// Pools lists the pools that the account may use; empty means all.
	Pools []fleet.PoolID `toml:"pools"`
}

// Route declares a plain-service route, reached under /svc/<name>/.
type Route struct {
	// Name is the part of the path after /svc/. Required.
	Name string `toml:"name"`
	// Pool is a pool of kind "service". Required.
	Pool fleet.PoolID `toml:"pool"`
	// Idempotent says that requests may be repeated. Default false. Requests
	// with a safe method (GET, HEAD, OPTIONS) always count as idempotent.
	Idempotent bool `toml:"idempotent"`
	// DatedKeys requires idempotency keys to be UUID version 7. Default false.
	DatedKeys bool `toml:"dated_keys"`
}
