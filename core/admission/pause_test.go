package admission

import (
	"testing"
	"time"
)

// Guards against a process that is paused between taking its first roles and
// its first Tick, and grants on resuming although another instance may have
// taken over.
func TestPauseBeforeFirstTick(t *testing.T) {
	l := NewLedger("r0", Params{Seed: 1})
	l.SetRoles(start, NewTable(testView(start, 0), testIndex(1, 0), DefaultAdmitters), true)
	ask := func(at time.Time) Verdict {
		return l.Admit(at, &PermitRequest{Server: "e0", Holder: "r0", ID: 1, Account: "a", Weight: 1, Tokens: 10, Relaxed: true})
	}
	if v := ask(start.Add(MaxPause)); v != Granted {
		t.Errorf("after %v: %s, want granted", MaxPause, v)
	}
	late := start.Add(MaxPause + time.Millisecond)
	if v := ask(late); v != HandoverPending {
		t.Errorf("after a pause: %s, want handover_wait", v)
	}
	if !l.Tick(late) {
		t.Error("the first Tick does not see the pause")
	}
}
