// Package hardload is a benchmark without network of how a fleet of instances serves more
// demand than its servers have room for. A World plays a Scenario in virtual time: callers of
// several classes and accounts, instances that each follow a Policy and hear of each other
// through delayed reports, and servers with slots, a queue and a speed. It has no state beyond
// a run; the same scenario and seed give the same result.
package hardload
