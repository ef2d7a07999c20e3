package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"cyclamenhitch/adapters/logging"
)

// Load of the demo.
const (
	chatCallers  = 300
	orderCallers = 6
)

// outOfServiceGrace is the time after which a data centre that was taken out must get no
// new work.
const outOfServiceGrace = 4 * time.Second

// transitionTime is how long the load ratio of the steady state leaves out a start
// from idle and a change of data centres: waiting load counts in the mean, and
// engines that return count by their ramp of 1 s, both unlike the stand-in.
const transitionTime = 2 * time.Second

// Options configures a run.
type Options struct {
	// Duration is how long traffic runs.
	Duration time.Duration
	// Hold keeps the fleet running after the traffic until ctx ends.
	Hold bool
	// Verbose writes the log lines of all instances to Log.
	Verbose bool
	// Operate runs the operators' command and returns its exit code.
	Operate func(args []string, out, errOut io.Writer) int
	Out     io.Writer
	Log     io.Writer
}

// Report is the last line of the demo.
type Report struct {
	Sent          int64   `json:"sent"`
	Answered      int64   `json:"answered"`
	RefusedNotRun int64   `json:"refused_not_run"`
	Unknown       int64   `json:"unknown"`
	WrongAnswer   int64   `json:"wrong_answer"`
	Truncated     int64   `json:"cut"`
	RepeatedKeys  int     `json:"run_twice"`
	CacheReuse    float64 `json:"cache_reuse"`
	LoadRatioMax  float64 `json:"load_ratio_max"`
	// SteadyRatioMax leaves out the transitions.
	SteadyRatioMax  float64 `json:"load_ratio_max_steady"`
	NewWorkAfterOut int     `json:"new_work_after_out"`
	// Codes counts refusals and errors by result code name.
	Codes map[string]int `json:"codes"`
}

// OK reports whether every count that must be 0 is 0.
func (r Report) OK() bool {
	return r.WrongAnswer == 0 && r.Truncated == 0 && r.RepeatedKeys == 0 && r.NewWorkAfterOut == 0
}

// Run runs the demo and returns its report.
func Run(ctx context.Context, o Options) (Report, error) {
	level := "error"
	if o.Verbose {
		level = "info"
	}
	fmt.Fprintf(o.Out, "starting %d instances, %d engines and %d service servers in %d data centres\n", instances, engines, servers, len(dataCentres))
	f, err := startFleet(ctx, o.Operate, logging.New(o.Log, level))
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return Report{}, err
	}
	fmt.Fprintf(o.Out, "ready; %d chats and %d order callers for %v\n", chatCallers, orderCallers, o.Duration)
	t := &outcomeCounts{codes: map[string]int{}}
	load, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	f.meter.SetTransition(time.Now().Add(transitionTime))
	wait := f.startCallers(load, t)
	err = f.takeDataCentreOutAndBack(load, o)
	wait()
	if err != nil {
		return Report{}, err
	}
	if o.Hold {
		f.printCurl(o.Out)
		<-ctx.Done()
	}
	return f.report(t), nil
}

// startCallers starts all callers and returns a function that waits for them.
func (f *fleet) startCallers(ctx context.Context, t *outcomeCounts) func() {
	var wg sync.WaitGroup
	for i := range chatCallers {
		wg.Go(func() { newCaller(f, i).runChat(ctx, t) })
	}
	for i := range orderCallers {
		wg.Go(func() { newCaller(f, chatCallers+i).runOrders(ctx, t) })
	}
	return wg.Wait
}

// takeDataCentreOutAndBack takes a data centre out after a quarter of the time and back
// after three quarters.
func (f *fleet) takeDataCentreOutAndBack(ctx context.Context, o Options) error {
	dc := dataCentres[1]
	if !sleep(ctx, o.Duration/4) {
		return nil
	}
	from := time.Now().Add(outOfServiceGrace) // the version is accepted later than now
	if err := f.setDataCentre(dc, "out"); err != nil {
		return err
	}
	f.forEachServer(dc, func(name string) { f.meter.MarkOutOfService(name, from) }, func(name string) { f.runCounter.MarkOutOfService(name, from) })
	fmt.Fprintf(o.Out, "data centre %s is out\n", dc)
	if !sleep(ctx, o.Duration/2) {
		return nil
	}
	f.forEachServer(dc, f.meter.MarkInService, f.runCounter.MarkInService)
	if err := f.setDataCentre(dc, "in"); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "data centre %s is in\n", dc)
	return nil
}

// forEachServer calls the functions for the engines and the service servers of dc.
func (f *fleet) forEachServer(dc string, engine, server func(name string)) {
	for i := range f.engines {
		if dataCentreOf(i) == dc {
			engine(engineName(i))
		}
	}
	for i := range f.servers {
		if dataCentreOf(i) == dc {
			server(serverName(i))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// setDataCentre changes the state with the operators' command.
func (f *fleet) setDataCentre(dc, state string) error {
	f.meter.SetTransition(time.Now().Add(transitionTime))
	return f.operate("datacentre", state, dc)
}

// operate runs the operators' command against the first instances.
func (f *fleet) operate(args ...string) error {
	for _, d := range f.daemons {
		args = append(args, "--instance", d.AdminAddress())
	}
	args = append(args, "--key-file", f.path("operator.key"))
	var out bytes.Buffer
	if code := f.command(args, &out, &out); code != 0 {
		return errors.New(strings.TrimSpace(out.String()))
	}
	return nil
}

func (f *fleet) printCurl(w io.Writer) {
	addr := f.daemons[0].CallerAddress()
	fmt.Fprintf(w, "\ntry, until Ctrl-C:\n")
	fmt.Fprintf(w, "  curl -H 'Authorization: Bearer %s' 'http://%s/v1/lookup?model=%s&chat=c1'\n", f.keys[0], addr, chatPool)
	fmt.Fprintf(w, "  curl -N -H 'Authorization: Bearer %s' -H 'X-Chat-Id: c1' http://%s/v1/chat/completions -d '{\"model\":%q,\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Which thread for bridle leather?\"}]}'\n", f.keys[0], addr, chatPool)
	fmt.Fprintf(w, "  curl -H 'Authorization: Bearer %s' -H 'Idempotency-Key: k1' http://%s/svc/%s/confirm -d 'one satchel'\n", f.keys[0], addr, orderRoute)
	fmt.Fprintf(w, "  cyclamenhitch status --instance %s --key-file %s\n", f.daemons[0].AdminAddress(), f.path("operator.key"))
}

func (f *fleet) report(t *outcomeCounts) Report {
	r := Report{
		Sent: t.sent.Load(), Answered: t.answered.Load(), RefusedNotRun: t.refusedNotRun.Load(),
		Unknown: t.unknown.Load(), WrongAnswer: t.wrongAnswer.Load(), Truncated: t.truncated.Load(),
		RepeatedKeys: f.runCounter.RepeatedKeys(), LoadRatioMax: f.meter.RatioMax(), SteadyRatioMax: f.meter.SteadyRatioMax(), NewWorkAfterOut: f.meter.StartsOutOfService() + f.runCounter.StartsOutOfService(),
		Codes: t.codes,
	}
	var prompt, cached int64
	for _, e := range f.engines {
		c := e.Counts()
		prompt += c.PromptTokens
		cached += c.CachedTokens
	}
	if prompt > 0 {
		r.CacheReuse = float64(cached) / float64(prompt)
	}
	return r
}

// Encode writes the report as one line of JSON.
func (r Report) Encode(w io.Writer) error { return json.NewEncoder(w).Encode(r) }
