// Package placement holds benchmarks of placement on the users' platform: choosing a
// server, checking the lease and encoding the reports between instances.
package placement
