// Package slopes holds benchmarks that measure one cost over a range of sizes.
// The capacity command fits a line to the results.
package slopes
