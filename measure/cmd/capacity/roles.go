package main

import (
	"fmt"
	"strings"

	"cyclamenhitch/adapters/peer"
	"cyclamenhitch/adapters/peer/claimpb"
)

// cost is what one role costs one instance, or the fleet for platform roles.
type cost struct {
	role, state, mechanism string
	messages               float64 // a second
	bytes                  float64 // a second
	core                   float64 // share of one core
	memory                 float64 // bytes
	control                bool
}

// peerCallSeconds is the processor time of one peer call, both sides, in seconds.
func (m *model) peerCallSeconds() float64 { return m.slope("SlopePeerCall", "calls", "cpu-µs") / 1e6 }

// claimCallBytes is the size of a claim or of the record of its end, in bytes. The
// two messages of a call, 215 and 20 bytes in the mean, are assumed.
var claimCallBytes = float64(peer.CallBytes(claimpb.ClaimsPathPrefix+"Finish", 215) + peer.AnswerBytes(20))

// changeTransferBytes is the transfer of one changed account, in bytes, from
// BenchmarkControlApply.
const changeTransferBytes = 1055

// instanceCosts returns the roles of one instance at a size.
func (m *model) instanceCosts(s size) []cost {
	req := s.requests / s.instances
	streams := req * s.requestSeconds
	enginesEach := s.engines / s.instances
	permits := m.value("permits/request", "Policy/", "size=target", "scenario=steady", "policy=router") * req
	exchanges := min(enginesEach, s.pools)
	calls := permits + exchanges
	lookups := min(req, streams*2/lookupCacheSeconds+req/2)
	claims := req * s.claimShare
	claimsKept := s.requests * s.claimShare * retentionSeconds / partitions
	tableRebuild := m.line("SlopeTable", "instances", "cpu-µs", s.instances) * s.engines / 600 / 1e6
	decode := m.line("SlopeConfig/decode", "accounts", "ns/op", s.accounts) / 1e9
	membershipBytes := m.line("Control", "instances", "B/s", s.instances)
	datagrams := membershipBytes / meanDatagramBytes
	return []cost{
		{
			"caller-facing serving", fmt.Sprintf("%.0f open streams", streams), "pull relay, one buffer for each stream",
			req, s.tokens / s.instances * 200, req*m.value("added-cpu-µs/request", "Proxy")/1e6 + s.tokens/s.instances*m.value("cpu-µs/token", "Proxy")/1e6,
			streams * m.value("router-B/stream", "Proxy"), false,
		},
		{
			"lookup", "none", "rendezvous hashing, no table of chats",
			lookups, lookups * 600, lookups * (m.slope("SlopeLookup", "lookups", "cpu-µs") + m.value("added-cpu-µs/request", "Proxy")) / 1e6, 0, false,
		},
		{
			"admission to engines", fmt.Sprintf("%.1f ledgers, %.0f running requests", enginesEach, streams), "one primary admitter for each engine",
			calls + enginesEach, m.policyBytes(),
			calls*m.peerCallSeconds() + req*m.slope("SlopeLedger", "running", "cpu-µs")/1e6 + s.departures*2/daySeconds*tableRebuild,
			streams*m.slope("SlopeLedger", "running", "heap-B") + m.line("SlopeTable", "instances", "heap-B", s.instances), true,
		},
		{
			"membership", fmt.Sprintf("%.0f members", s.instances), "probe of one peer in each period, piggybacked updates",
			datagrams, membershipBytes,
			m.line("Control", "instances", "core-%", s.instances)/100 + datagrams*m.slope("SlopeDatagram", "datagrams", "cpu-µs")/1e6,
			600 * s.instances, true,
		},
		{
			"configuration", fmt.Sprintf("version of %.0f accounts", s.accounts), "version on heartbeats, differences from peers",
			s.changes / daySeconds, changeTransferBytes * s.changes / daySeconds,
			s.changes / daySeconds * decode, m.line("SlopeConfig", "accounts", "heap-B", s.accounts)*2 + m.line("SlopeConfig", "accounts", "body-B", s.accounts), true,
		},
		{
			"claims, serving instance", "ends not yet recorded", "call to the partition's owner",
			2 * claims, 2 * claims * claimCallBytes, 2 * claims * m.peerCallSeconds(), 0, true,
		},
		{
			"claims, owner of a partition", fmt.Sprintf("%.2g claims", claimsKept), "log in the table, index in memory",
			2 * s.requests * s.claimShare / partitions, 2 * s.requests * s.claimShare / partitions * claimCallBytes,
			2 * s.requests * s.claimShare / partitions * m.peerCallSeconds(), claimsKept * m.value("B/claim", "Claims/index"), true,
		},
		{
			"lease holder", fmt.Sprintf("%.2f leases", s.pools/s.instances), "conditional write of a row with a fencing number",
			s.pools / s.instances / leaseSeconds, s.pools / s.instances / leaseSeconds * 2000, 0, 0, true,
		},
		{
			"objectives", fmt.Sprintf("%.0f accounts, %.0f pools", s.accounts, s.pools), "two slots for each window, merged by the operators' command",
			1.0 / 300, m.value("snapshot-B", "State") * s.accounts / 18000 / 300 / 8, 0, m.value("state-B", "State") * s.accounts / 18000, true,
		},
	}
}

// policyBytes is the mean control traffic of admission that BenchmarkPolicy
// counted at target size.
func (m *model) policyBytes() float64 {
	return m.value("control_B/s_mean", "Policy/", "size=target", "scenario=steady", "policy=router")
}

// roleTable lists the roles of one instance.
func (m *model) roleTable(s size) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| role | state | messages/s | bytes/s | %% of a core | memory | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	sum, owner := cost{}, cost{}
	for _, c := range m.instanceCosts(s) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", c.role, c.state, formatNumber(c.messages), formatNumber(c.bytes), formatNumber(c.core*100), formatBytes(c.memory), c.mechanism)
		switch {
		case c.role == "claims, owner of a partition":
			owner = c
		case c.control:
			sum.bytes += c.bytes
			sum.core += c.core
			sum.memory += c.memory
		}
	}
	fmt.Fprintf(&b, "| **control, without a partition of claims** | | | %s | %s | %s | bounds: 22,000, 1.3, 64 MB |\n", formatNumber(sum.bytes), formatNumber(sum.core*100), formatBytes(sum.memory))
	fmt.Fprintf(&b, "| **control, owner of a partition** | | | %s | %s | %s | bounds: 22,000, 1.3, 64 MB |\n", formatNumber(sum.bytes+owner.bytes), formatNumber((sum.core+owner.core)*100), formatBytes(sum.memory+owner.memory))
	return b.String()
}

// platformTable lists the load of the whole fleet on the platform.
func (m *model) platformTable() string {
	var b strings.Builder
	b.WriteString("| size | table reads/s | table writes/s, at most | of these claims | leases | configuration | object writes a day | bytes of manifest bodies a day |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range sizes {
		lease := s.pools / leaseSeconds
		claims := min(2*s.requests*s.claimShare, claimWritesPerSecond)
		conf := s.changes / daySeconds
		reads := headReadsPerSecond + s.pools/leaseSeconds + claims
		if s.instances < 10 {
			reads = 2*s.instances + lease + claims
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", s.name, formatNumber(reads), formatNumber(claims+lease+conf), formatNumber(claims), formatNumber(lease), formatNumber(conf),
			formatNumber(s.changes+s.instances*daySeconds/300), formatBytes(s.changes*m.line("SlopeConfig", "accounts", "body-B", s.accounts)))
	}
	return b.String()
}

func formatBytes(v float64) string {
	switch {
	case v >= 1e9:
		return fmt.Sprintf("%.3g GB", v/1e9)
	case v >= 1e6:
		return fmt.Sprintf("%.3g MB", v/1e6)
	case v >= 1e3:
		return fmt.Sprintf("%.3g KB", v/1e3)
	}
	return fmt.Sprintf("%.3g B", v)
}
