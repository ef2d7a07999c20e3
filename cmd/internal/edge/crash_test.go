package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/standins/runner"
)

const (
	crashFleet   = 3
	crashEngines = 6
	// deadlyPart crashes each engine; soundPart stands before it in all prompts.
	soundPart, deadlyPart = "a1", "dead"
	// crashesToLearn is the number of crashes after which the users bound what still reaches
	// servers, knownAfter the time from then on, and maxRunsOnceKnown the bound.
	crashesToLearn   = 5
	knownAfter       = 3 * time.Second
	maxRunsOnceKnown = 3
)

// startCrashFleet starts a fleet whose engines crash on deadlyPart.
func startCrashFleet(t *testing.T) (*testFleet, []*runner.Runner) {
	t.Helper()
	var runners []*runner.Runner
	for i := range crashEngines {
		runners = append(runners, &runner.Runner{ID: fmt.Sprint("e", i), CrashParts: []string{deadlyPart}, RestartTime: 300 * time.Millisecond})
	}
	f := startFleet(t, crashFleet, runners...)
	f.store.Set("op", "config", engineConfig())
	for i := range crashFleet {
		f.eventually("the configuration is in force", func() bool { s, _, _ := f.call(i, "/r/1", "k1"); return s == 200 })
	}
	return f, runners
}

// runsWith counts the runs of requests whose prompt holds a part.
func runsWith(runners []*runner.Runner, part string) int {
	n := 0
	for _, r := range runners {
		for _, run := range r.Runs() {
			if strings.Contains(run.PromptParts, part+":") {
				n++
			}
		}
	}
	return n
}

var promptCount int

// prompt returns prompt parts that end with one of the request's own.
func prompt(parts ...string) string {
	promptCount++
	return strings.Join(append(parts, fmt.Sprintf("ff%04x", promptCount)), ":100,") + ":100"
}

// Guards against requests with one prompt part that crash engine after engine, and against
// the refusal of sound requests of the same account that share the other parts.
func TestPromptPartThatCrashesEngines(t *testing.T) {
	f, runners := startCrashFleet(t)
	for i := range crashesToLearn {
		f.callWithPrompt(i%crashFleet, "/r/1", "k1", prompt(soundPart, deadlyPart))
		f.callWithPrompt(i%crashFleet, "/r/1", "k1", prompt(soundPart, "b2"))
	}
	time.Sleep(knownAfter)
	before := runsWith(runners, deadlyPart)
	for i := range 20 {
		f.callWithPrompt(i%crashFleet, "/r/1", "k1", prompt(soundPart, deadlyPart))
		if s, _, body := f.callWithPrompt(i%crashFleet, "/r/1", "k1", prompt(soundPart, "b2")); s != 200 {
			t.Errorf("sound request: status %d %q", s, body)
		}
	}
	if n := runsWith(runners, deadlyPart) - before; n > maxRunsOnceKnown {
		t.Errorf("%d requests with the part reached engines after %d crashes, want at most %d", n, crashesToLearn, maxRunsOnceKnown)
	}
}
