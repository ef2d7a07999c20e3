package main

// size is a fleet size for which costs are computed.
type size struct {
	name                      string
	instances, engines, pools float64
	accounts                  float64
	// requests and tokens are per second at the peak.
	requests, tokens float64
	// requestSeconds is the assumed duration of a request.
	requestSeconds float64
	// claimShare is the assumed share of requests that are not idempotent.
	claimShare float64
	// changes is the number of configuration changes per day.
	changes float64
	// departures is the number of instances per day that fail or are replaced.
	departures float64
}

// sizes are today's fleet (with an assumed request rate), the two-year target, and
// ten times the target.
var sizes = []size{
	{"today", 9, 10, 1, 10, 60, 18000, 10, 0.1, 20, 3},
	{"target", 370, 600, 25, 18000, 3600, 1.1e6, 10, 0.02, 1600, 111},
	{"thousands", 3700, 6000, 250, 180000, 36000, 1.1e7, 10, 0.02, 16000, 1110},
}

const (
	daySeconds = 86400.0
	// retentionSeconds is how long claims are kept: 48 h and a generation of 4 h.
	retentionSeconds     = 52 * 3600.0
	partitions           = 32.0
	leaseSeconds         = 5.0
	headReadsPerSecond   = 20.0 // whole fleet
	claimWritesPerSecond = 300.0
	lookupCacheSeconds   = 20.0 // time that callers cache a lookup
	meanDatagramBytes    = 500.0
)
