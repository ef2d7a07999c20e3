package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against bodies beyond the budget, and against long ones or one account that take it all.
func TestBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBodies(64 << 20)
		type body struct {
			account uint64
			n       int64
		}
		var held []body
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(held) > 0 && rapid.IntRange(0, 3).Draw(t, "give") == 0 {
				i := rapid.IntRange(0, len(held)-1).Draw(t, "body")
				b.Give(held[i].account, held[i].n)
				held = append(held[:i], held[i+1:]...)
				continue
			}
			x := body{rapid.Uint64Range(1, 2).Draw(t, "account"), rapid.Int64Range(LongBody+1, 8<<20).Draw(t, "bytes")}
			if ok, _ := b.Take(x.account, x.n); ok {
				held = append(held, x)
			}
		}
		if b.Used() > b.Limit()*longPercent/100 {
			t.Fatalf("long bodies take %d of %d", b.Used(), b.Limit())
		}
		if ok, _ := b.Take(1, LongBody); !ok {
			t.Fatal("no room for a short body")
		}
		b.Give(1, LongBody)
		for i := range held {
			b.Give(held[i].account, held[i].n)
		}
		if b.Used() != 0 || len(b.accounts) != 0 {
			t.Fatalf("%d bytes of %d accounts are left", b.Used(), len(b.accounts))
		}
		for ok := true; ok; ok, _ = b.Take(1, 1<<20) {
			continue
		}
		if ok, _ := b.Take(2, 4<<20); !ok {
			t.Fatal("one account took all")
		}
	})
}

// Guards against a waiter that is not told when bytes are given back.
func TestBodiesFreed(t *testing.T) {
	b := NewBodies(100)
	b.Take(1, 100)
	ok, freed := b.Take(2, 1)
	if ok {
		t.Fatal("granted above the limit")
	}
	b.Give(1, 100)
	<-freed
	if ok, _ := b.Take(2, 100); !ok {
		t.Fatal("refused below the limit")
	}
}
