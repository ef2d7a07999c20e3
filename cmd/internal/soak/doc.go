// Package soak injects faults into a fleet of real processes on one machine and checks
// what callers and backend servers observe. It contains only tests:
//
//	go test ./cmd/internal/soak -run TestSoak -soak.seeds 50 -soak.seconds 20
//
//	go test ./cmd/internal/soak -run TestCutResponses -v -soak.cutplays all -soak.cutseconds 15
//
// Faults come from outside the processes: signals, and proxies in front of the store and the
// backend servers. A seed determines the sequence of faults, but not the scheduling of the
// processes. Clock faults are not injected.
package soak
