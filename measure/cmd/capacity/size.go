package main

// size is a fleet size that the page computes costs for.
type size struct {
	name                      string
	instances, engines, pools float64
	accounts                  float64
	// requests and tokens are per second at the peak.
	requests, tokens float64
	// requestSeconds is how long a request runs; assumed.
	requestSeconds float64
	// claimShare is the share of requests that are not idempotent; assumed.
	claimShare float64
	// changes is the number of configuration changes a day.
	changes float64
	// departures is the number of instances a day that fail or are replaced.
	departures float64
}

// sizes are today's (its request rate is assumed), the two-year target, and ten
// times its instances, engines and traffic.
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
	headReadsPerSecond   = 20.0 // a second, for the fleet
	claimWritesPerSecond = 300.0
	lookupCacheSeconds   = 20.0 // how long callers keep a lookup
	meanDatagramBytes    = 500.0
)
