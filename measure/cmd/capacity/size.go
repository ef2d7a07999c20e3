package main

// size is a fleet size that the page computes costs for.
type size struct {
	name      string
	instances float64
	engines   float64
	pools     float64
	accounts  float64
	chats     float64
	// requests and tokens are per second at the peak.
	requests, tokens float64
	// requestSeconds is how long a request runs; assumed.
	requestSeconds float64
	// claimShare is the share of requests that are not idempotent; assumed.
	claimShare float64
	// changes is the number of configuration changes a day.
	changes float64
	// spillShare is the share of requests that need a permit from another
	// instance; measured by BenchmarkPolicy.
	spillShare float64
}

// sizes are today's, the two-year target and ten times its instances with the
// same traffic.
var sizes = []size{
	{"today", 9, 10, 1, 10, 5000, 20, 4000, 10, 0.1, 20, 0.05},
	{"target", 370, 600, 25, 18000, 2.2e6, 3600, 1.1e6, 10, 0.02, 1600, 0.05},
	{"thousands", 3700, 6000, 25, 18000, 2.2e7, 36000, 1.1e7, 10, 0.02, 16000, 0.05},
}

// Bounds of the control work of one instance.
const (
	boundCoreShare  = 0.013
	boundMemory     = 64e6 // bytes
	boundBytes      = 22e3 // bytes a second
	secondsInOneDay = 86400
)
