// Package measure holds the benchmarks of policy and control at size.
package measure
