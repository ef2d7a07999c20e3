// Package slopes holds benchmarks that measure one cost over a range of sizes;
// the capacity command fits a line through them. It keeps no state.
package slopes
