package admission

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/routing"
)

// Guards against an instance that takes over an engine without the prefix
// records or the cold start that the failed admitter knew, and against records
// of a cache that the engine lost, while copies are lost and instances and
// engines restart.
func TestSuccessorHasRecords(t *testing.T) {
	t.Parallel() // among the slowest tests
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(3, 9).Draw(t, "engines")
		x, now := testIndex(engines, 0), start
		view := testView(now, 0, 1, 2, 3)
		table := NewTable(view, x, DefaultAdmitters)
		var ledgers [4]*Ledger
		var recent [4]*routing.RecentChats
		var copies [4]*CopyScheduler
		number := func(id fleet.InstanceID) (i int) { _, _ = fmt.Sscanf(string(id), "r%d", &i); return i }
		begin := func(i int) {
			id := fleet.InstanceID(fmt.Sprintf("r%d", i))
			ledgers[i], recent[i], copies[i] = NewLedger(id, Params{Seed: 1}), routing.NewRecentChats(start), NewCopyScheduler(id)
			ledgers[i].SetRoles(now, table, true)
		}
		for i := range ledgers {
			begin(i)
		}
		admitter := func(s fleet.ServerID) int { return number(table.Of(s)[0].ID) }
		restarted := map[fleet.ServerID]time.Time{}
		incarnation := map[fleet.ServerID]uint64{}
		report := func(s fleet.ServerID) {
			if i := admitter(s); ledgers[i].Report(now, s, Report{Incarnation: 1 + incarnation[s], At: now}) {
				recent[i].ForgetServer(s)
			}
		}
		sync := func(loss bool) {
			now = now.Add(SyncInterval)
			for i := range copies {
				due := copies[i].Due(now, table, ledgers[i], recent[i], func(fleet.InstanceID) bool { return false })
				for _, to := range slices.Sorted(maps.Keys(due)) { // draws must come in one order
					ks := due[to]
					if loss && rapid.Bool().Draw(t, "lost") {
						continue
					}
					for _, k := range ks {
						ledgers[number(to)].ApplyCopy(now, k, recent[number(to)])
					}
					copies[i].Delivered(to, ks)
				}
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			s := x.Manifest.Servers[rapid.IntRange(0, engines-1).Draw(t, "engine")].Name
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op == 0: // an instance restarts and is known by a higher incarnation
				i := rapid.IntRange(0, 3).Draw(t, "instance")
				view = testView(now, 0, 1, 2, 3)
				for j, m := range table.View.Members {
					view.Members[j].Incarnation = m.Incarnation
				}
				view.Members[i].Incarnation++
				table = NewTable(view, x, DefaultAdmitters)
				begin(i)
			case op == 1:
				incarnation[s]++
				restarted[s] = now
			case op < 6:
				// Chats of different engines differ: a table keeps one engine for a chat.
				chat := fleet.ChatKey(10*rapid.IntRange(1, 50).Draw(t, "chat")) + fleet.ChatKey(admitter(s)) + fleet.ChatKey(s[1])<<32
				report(s)
				recent[admitter(s)].Record(chat, s, 16*rapid.IntRange(1, 500).Draw(t, "tokens"), now)
			default:
				for range rapid.IntRange(1, 40).Draw(t, "seconds") {
					sync(true)
				}
			}
		}
		for i := range x.Manifest.Servers {
			report(x.Manifest.Servers[i].Name)
		}
		for range int(CopyInterval/SyncInterval) + 3 {
			sync(false)
		}
		from := rapid.IntRange(0, 3).Draw(t, "failed")
		rest := testView(now, 0, 1, 2, 3)
		rest.Members = append(rest.Members[:from], rest.Members[from+1:]...)
		after := NewTable(rest, x, DefaultAdmitters)
		for i := range ledgers {
			if i != from {
				ledgers[i].SetRoles(now, after, false)
			}
		}
		for s, m := range table.Successors(ledgers[from].self) {
			to := number(m.ID)
			if after.Of(s)[0].ID != m.ID {
				t.Fatalf("%s moved to %s, its records to %s", s, after.Of(s)[0].ID, m.ID)
			}
			since := map[fleet.ServerID]time.Time{s: {}}
			for _, p := range recent[from].Prefixes(now, now, since)[s] {
				if got := recent[to].CachedTokens(p.Chat, s, now); got != int(p.Tokens)*routing.PrefixTokenUnit {
					t.Fatalf("chat %x of %s: %s has %d tokens, the failed admitter %d", p.Chat, s, m.ID, got, p.Tokens*routing.PrefixTokenUnit)
				}
			}
			for _, p := range recent[to].Prefixes(now, now, since)[s] {
				if used := now.Add(-time.Duration(p.Age) * routing.PrefixAgeUnit); used.Add(routing.PrefixAgeUnit).Before(restarted[s]) {
					t.Fatalf("chat %x of %s: %s has a record from before the restart", p.Chat, s, m.ID)
				}
			}
			e, cold := ledgers[from].coldState(now, s)
			if got, age := ledgers[to].coldState(now, s); got != e || (age < 0) != (cold < 0) {
				t.Fatalf("%s: %s knows incarnation %d at age %v, the failed admitter %d at %v", s, m.ID, got, age, e, cold)
			}
		}
	})
}
