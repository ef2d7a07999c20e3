package claims

import (
	"context"
	"testing"
	"time"
)

// work performs all operations of an owner without faults.
func work(o *Owner, t *memTable, now time.Time) (rs []Result) {
	for {
		op, _, r := o.Next(now)
		rs = append(rs, r...)
		if op == nil {
			return rs
		}
		rs = append(rs, o.Reply(op, Execute(context.Background(), t, t, *op), now)...)
	}
}

func claimNow(o *Owner, t *memTable, key uint64, now time.Time) Verdict {
	c := Command{ID: key, Expires: now.Add(time.Minute), Rec: Record{Kind: KindClaim, Key: key, Digest: key, Attempt: uint64(now.UnixNano()), Until: now.Add(time.Minute).UnixMilli()}}
	if r := o.Submit(c, now); r != nil {
		return r.Verdict
	}
	return work(o, t, now)[0].Verdict
}

// Guards against rows that are never trimmed, an outcome that is lost within the
// retention, and a second run by an owner that was paused until the rows after
// its index were trimmed.
func TestTrimming(t *testing.T) {
	table := newMemTable()
	paused, owner := NewOwner(testConfig()), NewOwner(testConfig())
	now := testStart
	claimNow(paused, table, 1, now)
	runs := map[uint64]time.Time{}
	for key := uint64(2); key < 1500; key++ { // 100 h
		now = now.Add(4 * time.Minute)
		if v := claimNow(owner, table, key, now); v != Granted {
			t.Fatalf("key %d: verdict %d", key, v)
		}
		runs[key] = now
		c := Command{ID: key, Rec: Record{Kind: KindOutcome, Key: key, Attempt: uint64(now.UnixNano()), Outcome: Outcome{Status: 200}}}
		if r := owner.Submit(c, now); r != nil {
			t.Fatalf("outcome of key %d: verdict %d", key, r.Verdict)
		}
		work(owner, table, now)
	}
	rows := 0
	for _, r := range table.rows {
		if r.Partition == logName(0) {
			rows++
		}
	}
	// 15 keys an hour, two rows each, for the retention and three generations.
	if limit := int((Retention + 3*generationLength).Hours()) * 15 * 2; rows > limit || rows < int(Retention.Hours())*15*2 {
		t.Fatalf("%d rows are left of %d, want at most %d", rows, owner.Tail(), limit)
	}
	fresh := NewOwner(testConfig())
	fresh.StartLoading()
	work(fresh, table, now)
	for key, at := range runs {
		if now.Sub(at) > Retention {
			continue
		}
		for name, o := range map[string]*Owner{"owner": owner, "fresh": fresh, "paused": paused} {
			if v := claimNow(o, table, key, now); v != Stored {
				t.Fatalf("%s owner: key %d, run %v ago: verdict %d, want the stored outcome", name, key, now.Sub(at), v)
			}
		}
	}
}
