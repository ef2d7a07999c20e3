package admission

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

type cachedChat struct {
	chat    fleet.ChatKey
	account fleet.ClientAccountID
	tokens  int
	used    time.Time
}

// Guards against a model that differs from a least recently used cache of the
// same size, against records of evicted prefixes that count as cached, and
// against shares that do not add up.
func TestCacheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		size := rapid.IntRange(200, 2000).Draw(t, "size")
		c := newCacheModel(now)
		c.declared = int64(size)
		var want []cachedChat // the oldest first
		last := map[fleet.ChatKey]time.Time{}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond)
			a := PermitRequest{Chat: fleet.ChatKey(rapid.IntRange(1, 40).Draw(t, "chat")), Prompt: rapid.IntRange(1, 150).Draw(t, "prompt"), Weight: 1}
			a.Account = fleet.ClientAccountID('a' + rune(a.Chat%4))
			if rapid.IntRange(0, 49).Draw(t, "op") == 0 {
				c.clear()
				want = nil
			}
			c.record(now, &a)
			last[a.Chat] = now
			want = slices.DeleteFunc(want, func(w cachedChat) bool { return w.chat == a.Chat })
			want = append(want, cachedChat{a.Chat, a.Account, a.Prompt, now})
			used, accounts := int64(0), map[fleet.ClientAccountID]int64{}
			for i := len(want) - 1; i >= 0; i-- {
				if used+int64(want[i].tokens) > c.declared {
					want = want[i+1:]
					break
				}
				used += int64(want[i].tokens)
				accounts[want[i].account] += int64(want[i].tokens)
			}
			for id, s := range c.accounts {
				accounts[id] -= s.tokens
			}
			equal := func(_ fleet.ClientAccountID, tokens int64) bool { return tokens == 0 }
			n := float64(len(accounts))
			if maps.DeleteFunc(accounts, equal); used != c.used || len(want) != len(c.index) || len(accounts) > 0 || c.weights != n {
				t.Fatalf("%d tokens of %d chats, want %d of %d; weight %v of %v; accounts differ by %v", c.used, len(c.index), used, len(want), c.weights, n, accounts)
			}
			for chat, at := range last {
				i := slices.IndexFunc(want, func(w cachedChat) bool { return w.chat == chat })
				// The end of a request refreshes its record after the last grant.
				got := c.cached(chat, 100, at.Add(10*time.Second))
				if i >= 0 && got != min(100, want[i].tokens) || i < 0 && got != 0 && c.evicted > 0 {
					t.Fatalf("chat %d: %d tokens count as cached, held: %v", chat, got, i >= 0)
				}
			}
		}
	})
}

// Guards against allocations for each request once the model has its size.
func TestCacheModelAllocations(t *testing.T) {
	c, now := newCacheModel(start), start
	c.declared = 250 // two chats, so that accounts come and go
	a := PermitRequest{Prompt: 90, Output: 10, Weight: 1}
	run := func() {
		for i := range 10_000 {
			a.Chat, a.Account = fleet.ChatKey(fleet.Mix(uint64(i), 5)%3000+1), [...]fleet.ClientAccountID{"a", "b", "c"}[i%3]
			c.record(now, &a)
			c.cached(a.Chat, 90, now)
		}
	}
	if n := testing.AllocsPerRun(5, run); n > 0 {
		t.Fatalf("%v allocations in 10,000 requests", n)
	}
}

// Guards against a learned size that follows the noise of reports, that stays
// too large while the engine reports work that the ledger does not know, and
// that does not grow back.
func TestCacheLearn(t *testing.T) {
	c, now := newCacheModel(start), start
	feed := func(seconds int, beyond ...float64) int64 {
		for i := range seconds {
			now = now.Add(time.Second)
			c.record(now, &PermitRequest{Chat: fleet.ChatKey(i%200 + 1), Prompt: 100, Weight: 1})
			c.updateLearnedSize(now, beyond[i%len(beyond)])
		}
		return c.size()
	}
	if got := feed(600, 0.08, -0.08); got != 0 {
		t.Fatalf("size %d after noise, want unknown", got)
	}
	small := feed(120, 0.1)
	if small == 0 || small > 16_000 {
		t.Fatalf("size %d of 20,000 used after two minutes of unknown work", small)
	}
	if got := feed(120, -0.1); got <= small {
		t.Fatalf("size %d does not grow from %d", got, small)
	}
}

// Guards against an account within its share that is refused because another
// one fills the cache, and against a surging account that keeps more than its
// share while the others need it.
func TestCacheShares(t *testing.T) {
	t.Parallel() // among the slowest tests
	rapid.Check(t, func(t *rapid.T) {
		const capacity, size = 10_000, 20_000
		m := newLoadModel(1, capacity)
		l := m.of("e0")
		l.Report(m.now, "e0", Report{Incarnation: 1, CacheTokens: size, At: m.now})
		m.ask(PermitRequest{Server: "e0", Account: "base", Tokens: int64(rapid.IntRange(7200, 7800).Draw(t, "load")), Relaxed: true})
		send := func(account fleet.ClientAccountID, chat, prompt int) Verdict {
			a := PermitRequest{Server: "e0", Account: account, Chat: fleet.ChatKey(chat), Weight: 1, Priority: 5, Prompt: prompt, Output: 10, Relaxed: true}
			l.Estimate(&a, prompt, m.chats[a.Chat])
			v := m.ask(a)
			if v == Granted {
				m.chats[a.Chat] = m.now
				m.end(len(m.running) - 1)
			}
			return v
		}
		c := l.shard("e0").engines["e0"].cache
		prompt, quiet := rapid.IntRange(50, 200).Draw(t, "prompt"), rapid.IntRange(5, 30).Draw(t, "quiet chats")
		for range rapid.IntRange(1500, 3000).Draw(t, "steps") {
			m.wait(200 * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "account") == 0 {
				if v := send("quiet", 1+rapid.IntRange(0, quiet-1).Draw(t, "chat"), prompt); v != Granted {
					t.Fatalf("the quiet account is refused: %v with %d of %d tokens", v, c.accounts["quiet"].tokens, c.used)
				}
				continue
			}
			send("big", 1000+rapid.IntRange(0, 1000).Draw(t, "chat"), prompt)
		}
		// The quiet account grows to its half; the surging one gives it back.
		n := size / 2 / (prompt + 10)
		for i := range 20 * n {
			m.wait(200 * time.Millisecond)
			if i%4 != 0 {
				send("big", 1000+rapid.IntRange(0, 1000).Draw(t, "chat"), prompt)
			} else if v := send("quiet", 1+i/4%n, prompt); v != Granted {
				t.Fatalf("the quiet account is refused: %v with %d of %d tokens", v, c.accounts["quiet"].tokens, c.used)
			}
		}
		if keeps, full := c.retention(m.now, prompt); full && keeps < contentionAge && c.accounts["big"].tokens > size*11/20 {
			t.Fatalf("the surging account has %d of %d tokens, prefixes stay for %v", c.accounts["big"].tokens, size, keeps)
		}
	})
}
