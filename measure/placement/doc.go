// Package placement holds benchmarks of the decisions on the users' platform: the
// choice of a server, the lease check and the reports between instances. It keeps no
// state.
package placement
