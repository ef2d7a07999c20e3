package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against evidence that waits for the next report, and against reports without a pause.
func TestReportWithEvidenceIsEarly(t *testing.T) {
	const interval = 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := &peers{evidence: make(chan struct{}, 1)}
		wait := func() time.Duration {
			begin := time.Now()
			p.waitForRound(context.Background(), interval)
			return time.Since(begin)
		}
		if d := wait(); d < interval*9/10 || d > interval*11/10 {
			t.Errorf("%v to a report without evidence, want %v", d, interval)
		}
		p.reportSoon()
		p.reportSoon()
		if d := wait(); d != interval/4 {
			t.Errorf("%v to a report with evidence, want %v", d, interval/4)
		}
		time.AfterFunc(interval/2, p.reportSoon)
		if d := wait(); d != interval/2 {
			t.Errorf("%v to a report with evidence that came after %v", d, interval/2)
		}
		if d := wait(); d < interval*9/10 {
			t.Errorf("%v to the report after the one with evidence, want %v", d, interval)
		}
	})
}
