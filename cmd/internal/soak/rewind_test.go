package soak

import (
	"flag"
	"math/rand/v2"
	"time"
)

var rewinds = flag.Bool("soak.rewinds", false, "let the store return as older copies of itself during the faults")

// rowKey names a row that the operator or a server writes.
type rowKey struct{ table, key string }

// write writes a row of the operator or of a server, which writes it again when the store
// has lost it.
func (f *fleet) write(table, key string, value []byte) {
	f.rowsMu.Lock()
	defer f.rowsMu.Unlock()
	if f.rows == nil {
		f.rows = map[rowKey][]byte{}
	}
	f.rows[rowKey{table, key}] = value
	f.store.Set(table, key, value)
}

// rewindStore lets the store return 2 to 8 s older after a short outage, sometimes twice in a
// row, until end. The operator and the servers write their rows again within a second.
func (f *fleet) rewindStore(seed uint64, end time.Time) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+rnd.IntN(2500)) * time.Millisecond)
		f.t.Logf("%s: the store returns older", time.Now().Format("05.000"))
		for range 1 + rnd.IntN(2) {
			f.store.SetDown(true)
			time.Sleep(time.Duration(50+rnd.IntN(400)) * time.Millisecond)
			f.store.Rewind(time.Duration(2000+rnd.IntN(6000)) * time.Millisecond)
			f.store.SetDown(false)
			time.Sleep(time.Duration(rnd.IntN(400)) * time.Millisecond)
		}
		time.Sleep(time.Duration(rnd.IntN(600)) * time.Millisecond)
		f.rowsMu.Lock()
		for k, value := range f.rows {
			f.store.Set(k.table, k.key, value)
		}
		f.rowsMu.Unlock()
	}
}
