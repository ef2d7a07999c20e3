package daemon

import "expvar"

// metricControl holds the control traffic of each instance of the process.
var metricControl = expvar.NewMap("cyclamenhitch_control")

// publishControlMetrics publishes the bytes that membership and calls between
// instances take, and the decisions of the failure detector.
func (d *Daemon) publishControlMetrics() {
	metricControl.Set(string(d.set.Instance), expvar.Func(func() any {
		m, t := &d.members.traffic, &d.traffic
		d.members.mu.Lock()
		stats := d.members.detector.Stats()
		d.members.mu.Unlock()
		return map[string]int64{
			"datagram_sent_bytes": m.SentBytes.Load(), "datagram_received_bytes": m.ReceivedBytes.Load(),
			"datagrams_sent": m.Sent.Load(), "datagrams_received": m.Received.Load(), "datagrams_refused": m.Refused.Load(),
			"peer_sent_bytes": t.SentBytes.Load(), "peer_received_bytes": t.ReceivedBytes.Load(), "peer_calls": t.Calls.Load(),
			"members":        int64(len(d.members.View().Members)),
			"config_version": int64(d.config.version()), "config_confirmed_age_ms": d.config.confirmedAge().Milliseconds(),
			"suspected": stats.Suspected, "removed": stats.Removed, "refuted": stats.Refuted, "own_pauses": stats.LocalPauses,
		}
	}))
}
