// Package soak plays faults against a fleet of real processes on one machine and checks
// what callers and backend servers see. It has test files only:
//
//	go test ./cmd/internal/soak -run TestSoak -soak.seeds 50 -soak.seconds 20
//
// Faults come from outside the processes: signals, and proxies before the store and the
// backend servers. A seed fixes the plan of faults, not the moments at which processes
// act. Clocks are not disturbed.
package soak
