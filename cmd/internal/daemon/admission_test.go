package daemon

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/routing"
)

func (f *fixture) sendChat(d *Daemon, text string) int {
	status, _ := f.request("POST", d.CallerAddress(), "/v1/chat/completions", testAccountKey,
		fmt.Sprintf(`{"model":"taller-modelo","max_tokens":3,"messages":[{"role":"user","content":%q}]}`, text))
	return status
}

// Guards against a break of the permit calls: a request that reaches an instance
// which does not admit to its engine, a role that moves when an instance joins or
// stops, load that is not returned, and a handover without the prefix records.
func TestPermitsBetweenInstances(t *testing.T) {
	f := newFixture(t)
	f.applyManifest()
	r2 := f.startInstance("r2")
	primary := func(d *Daemon, s fleet.ServerID) string {
		if st := d.admission.current(); st != nil {
			if a := st.table.Of(s); len(a) == 2 {
				return string(a[0].ID)
			}
		}
		return ""
	}
	f.eventually("both instances name the same admitters", func() bool {
		for _, s := range []fleet.ServerID{"engine-0", "engine-1"} {
			if p := primary(f.daemon, s); p == "" || p != primary(r2, s) {
				return false
			}
		}
		return true
	})
	for i := range 20 {
		for _, d := range []*Daemon{f.daemon, r2} {
			// The ledger of a moved role may be on its way.
			f.eventually("request answered", func() bool { return f.sendChat(d, fmt.Sprint("chat ", i)) == 200 })
		}
	}
	f.eventually("load returned", func() bool {
		sum := int64(0)
		for _, d := range []*Daemon{f.daemon, r2} {
			sum += d.admission.ledger.Used("engine-0") + d.admission.ledger.Used("engine-1")
		}
		return sum == 0
	})
	for i := range 10 {
		f.eventually("request answered", func() bool { return f.sendChat(r2, fmt.Sprint("only here ", i)) == 200 })
	}
	now, since := time.Now(), map[fleet.ServerID]time.Time{}
	for _, s := range []fleet.ServerID{"engine-0", "engine-1"} {
		if primary(r2, s) == "r2" {
			since[s] = time.Time{}
		}
	}
	records := r2.admission.recent.Prefixes(now, now.Add(routing.PrefixAgeUnit), since)
	r2.admission.handover()
	f.eventually("prefix records handed over", func() bool {
		got := f.daemon.admission.recent.Prefixes(now, now.Add(time.Minute), since)
		for s := range since {
			if len(records[s]) == 0 || len(got[s]) < len(records[s]) {
				return false
			}
		}
		return len(since) > 0
	})
	f.eventually("requests go on after a handover", func() bool { return f.sendChat(r2, "after") == 200 && f.sendChat(f.daemon, "after") == 200 })
}

// Guards against an explanation that names another engine or admitter than a
// request gets.
func TestExplain(t *testing.T) {
	f := newFixture(t)
	f.applyManifest()
	f.eventually("request answered", func() bool { return f.sendChat(f.daemon, "x") == 200 })
	status, body := f.request("GET", f.daemon.AdminAddress(), "/admin/explain?model=taller-modelo&chat=c1&account=workshops", testOperatorKey, "")
	var e Explanation
	if err := json.Unmarshal([]byte(body), &e); status != 200 || err != nil {
		t.Fatalf("status %d, %s, %v", status, body, err)
	}
	x := f.daemon.config.Index()
	ranked := f.daemon.admission.current().view.RankAt("taller-modelo", e.Chat, time.Now(), make([]*manifest.Server, 0, 2))
	if len(e.Candidates) != len(x.Servers("taller-modelo")) || e.Chosen == "" || len(e.Admitters) != 1 || e.Admitters[0] != "r1" || len(ranked) > 0 && ranked[0].Name != e.Chosen {
		t.Fatalf("explanation %s", body)
	}
	if status, body := f.request("GET", f.daemon.AdminAddress(), "/admin/explain?model=none&chat=c1", testOperatorKey, ""); status != 404 {
		t.Fatalf("unknown model: status %d, %s", status, body)
	}
}

// Guards against a break of the support calls, without which no takeover is
// confirmed and no admitter that is cut off stops.
func TestSupportBetweenDataCentres(t *testing.T) {
	f := newFixture(t)
	instances := []*Daemon{f.daemon}
	for i, dc := range []string{"goes", "prado"} {
		f.extraDataCentres = append(f.extraDataCentres, dc)
		instances = append(instances, f.startInstance(fmt.Sprint("r", i+2)))
	}
	f.applyManifest()
	for i, d := range instances {
		// A new instance gives no support for the handover wait.
		f.eventually("support", func() bool {
			return d.admission.takeover.Supported(time.Now()) && instances[(i+1)%3].admission.takeover.Supports(time.Now(), d.set.Instance)
		})
	}
}
