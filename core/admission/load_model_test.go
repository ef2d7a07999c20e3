package admission

import (
	"fmt"
	"maps"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// loadModel is one pool with one admitter for each engine and a true load.
type loadModel struct {
	now     time.Time
	x       *manifest.Index
	ledgers []*Ledger
	table   *Table
	totals  *Totals
	load    map[fleet.ServerID]int64
	running []PermitRequest
	past    []pastLoad // after each change
	id      uint64
	cold    int                         // engines that count in the mean by a part only
	chats   map[fleet.ChatKey]time.Time // last grant
}

func newLoadModel(engines, maxLoad int) *loadModel {
	m := &loadModel{now: start, x: testIndex(engines, maxLoad), totals: NewTotals(), load: map[fleet.ServerID]int64{}, chats: map[fleet.ChatKey]time.Time{}}
	m.table = NewTable(testView(start, 0, 1, 2), m.x, DefaultAdmitters)
	for i := range 3 {
		l := NewLedger(fleet.InstanceID(fmt.Sprintf("r%d", i)), Params{Seed: 1})
		l.SetRoles(start, m.table, true)
		m.ledgers = append(m.ledgers, l)
	}
	m.exchange(nil)
	return m
}

func (m *loadModel) of(s fleet.ServerID) *Ledger {
	for _, l := range m.ledgers {
		if m.table.Primary(s, l.self) {
			return l
		}
	}
	return nil
}

// highestMean is the highest mean that an admitter may see: totals lag by up to
// lag, so that load which moved between engines meanwhile may count at both.
func (m *loadModel) highestMean(lag time.Duration) float64 {
	sum := int64(0)
	for id, top := range m.load {
		for i := len(m.past) - 1; i >= 0; i-- {
			top = max(top, m.past[i].load[id])
			if m.now.Sub(m.past[i].at) > lag {
				break
			}
		}
		sum += top
	}
	return float64(sum) / float64(len(m.x.Manifest.Servers)-m.cold)
}

type pastLoad struct {
	at   time.Time
	load map[fleet.ServerID]int64
}

// wait lets time pass at instances that run.
func (m *loadModel) wait(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(min(end.Sub(m.now), time.Second))
		for _, l := range m.ledgers {
			l.Tick(m.now)
		}
	}
}

func (m *loadModel) note() { m.past = append(m.past, pastLoad{m.now, maps.Clone(m.load)}) }

func (m *loadModel) exchange(lost func() bool) {
	for _, l := range m.ledgers {
		if lost != nil && lost() {
			continue
		}
		loads := l.Loads(m.now, "p", nil)
		l.SetTotal(m.now, "p", m.totals.Exchange(m.now, "p", loads), loads)
	}
}

func (m *loadModel) ask(a PermitRequest) Verdict {
	m.id++
	a.ID, a.Holder, a.Weight = m.id, "r0", max(a.Weight, 1)
	if a.Account == "" {
		a.Account = "a"
	}
	v := m.of(a.Server).Admit(m.now, &a) // raises a.Tokens on a cold engine
	if v == Granted {
		m.load[a.Server] += a.Tokens
		m.running = append(m.running, a)
		m.note()
	}
	return v
}

func (m *loadModel) end(i int) {
	a := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.load[a.Server] -= a.Tokens
	m.of(a.Server).Release(m.now, a.Server, a.Holder, a.ID)
	m.note()
}

func (m *loadModel) engine(t *rapid.T) fleet.ServerID {
	return m.x.Manifest.Servers[rapid.IntRange(0, len(m.x.Manifest.Servers)-1).Draw(t, "engine")].Name
}
