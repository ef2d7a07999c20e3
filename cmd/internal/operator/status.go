package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"
)

// instanceStatus is what status shows of one instance.
type instanceStatus struct {
	Address    string   `json:"address"`
	Reached    bool     `json:"reached"`
	Instance   string   `json:"instance"`
	DataCentre string   `json:"data_centre"`
	Version    uint64   `json:"version"`
	Ready      bool     `json:"ready"`
	Reasons    []string `json:"reasons"`
	// ConfirmedAgeSeconds is the age of the last confirmation of the version by
	// the table service; -1 means never.
	ConfirmedAgeSeconds float64 `json:"confirmed_age_seconds"`
	Error               string  `json:"error,omitempty"`
}

// statuses asks all given instances.
func (e *env) statuses() ([]instanceStatus, error) {
	out := make([]instanceStatus, len(e.Instance))
	err := e.each(func(i int, addr, key string) {
		r, err := e.client.do(addr, "GET", "/admin/status", key, nil)
		if err == nil {
			err = json.Unmarshal(r.body, &out[i])
		}
		out[i].Address, out[i].Reached = addr, err == nil
		if err != nil {
			out[i].Error = err.Error()
		}
		if out[i].Reasons == nil {
			out[i].Reasons = []string{}
		}
	})
	return out, err
}

type statusCmd struct {
	Metrics []string `help:"Metrics address (host:port) of an instance on a platform with service discovery; repeat or separate with commas. Takes the place of --instance." placeholder:"HOST:PORT"`
}

// statusAnswer is the JSON answer of status.
type statusAnswer struct {
	Given      int              `json:"given"`
	Reached    int              `json:"reached"`
	NotReached []string         `json:"not_reached"`
	Versions   map[uint64]int   `json:"instances_by_version"`
	Instances  []instanceStatus `json:"instances"`
}

// Run implements the command.
func (c *statusCmd) Run(e *env) error {
	if len(c.Metrics) > 0 {
		return c.runMetrics(e)
	}
	stop := e.progress(func() string { return "asking the instances" })
	list, err := e.statuses()
	stop()
	if err != nil {
		return err
	}
	a := statusAnswer{Given: len(list), NotReached: []string{}, Versions: map[uint64]int{}, Instances: list}
	for _, s := range list {
		if !s.Reached {
			a.NotReached = append(a.NotReached, s.Address)
			continue
		}
		a.Reached++
		a.Versions[s.Version]++
	}
	if err := e.print(a, func() { e.printStatus(a) }); err != nil {
		return err
	}
	return notAllReached(a.Given, a.Reached, a.NotReached)
}

// notAllReached is the error of a command that could not ask every given instance.
func notAllReached(given, reached int, missing []string) error {
	if reached == given {
		return nil
	}
	code := ExitIncomplete
	if reached == 0 {
		code = ExitFailed
	}
	return &incomplete{code: code, text: fmt.Sprintf("%d of %d instances were not reached: %s. Check the addresses, or whether these instances run.",
		given-reached, given, strings.Join(missing, ", "))}
}

func (e *env) printStatus(a statusAnswer) {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tINSTANCE\tDATA CENTRE\tVERSION\tCONFIRMED\tREADY\tREASONS")
	for _, s := range a.Instances {
		if !s.Reached {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\tnot reached\n", s.Address)
			continue
		}
		ready, confirmed := "yes", "never"
		if s.ConfirmedAgeSeconds >= 0 {
			confirmed = fmt.Sprintf("%.0f s ago", s.ConfirmedAgeSeconds)
		}
		if !s.Ready {
			ready = "no"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", s.Address, s.Instance, s.DataCentre, s.Version, confirmed, ready, strings.Join(s.Reasons, "; "))
	}
	_ = w.Flush()
}

// inForce says how far a version has spread over the given instances.
type inForce struct {
	Given      int      `json:"given"`
	InForce    int      `json:"in_force"`
	Waiting    int      `json:"waiting"`
	NotReached []string `json:"not_reached"`
	Seconds    float64  `json:"seconds"`
}

// inForceInterval is the time between two rounds of asking the instances.
const inForceInterval = 100 * time.Millisecond

// offerAfter is when the command brings a version to the instances that do not
// have it yet. By then it has spread to all that reach the table service or an
// instance that has it; the bound is 4 s.
const offerAfter = time.Second

// awaitInForce asks the instances until all that are reached have the version,
// and brings it to those that stay behind.
func (e *env) awaitInForce(v version, limit time.Duration) (*inForce, error) {
	start, version := time.Now(), v.number
	offered := false
	var f inForce
	var have, of atomic.Int64
	stop := e.progress(func() string {
		return fmt.Sprintf("waiting until version %d is in force: %d of %d reached instances", version, have.Load(), of.Load())
	})
	defer stop()
	for {
		list, err := e.statuses()
		if err != nil {
			return nil, err
		}
		f = inForce{Given: len(list), NotReached: []string{}}
		for _, s := range list {
			switch {
			case !s.Reached:
				f.NotReached = append(f.NotReached, s.Address)
			case s.Version >= version:
				f.InForce++
			default:
				f.Waiting++
			}
		}
		f.Seconds = time.Since(start).Seconds()
		have.Store(int64(f.InForce))
		of.Store(int64(f.InForce + f.Waiting))
		if (f.Waiting == 0 && f.InForce > 0) || time.Since(start) >= limit {
			return &f, nil
		}
		if !offered && time.Since(start) >= offerAfter {
			offered = true
			e.offer(v, list)
		}
		time.Sleep(inForceInterval)
	}
}

// offer brings the version to the reached instances that do not have it. What
// fails shows in the next round of asking.
func (e *env) offer(v version, list []instanceStatus) {
	if v.proof == "" {
		return
	}
	path := fmt.Sprintf("/admin/offer?version=%d&proof=%s", v.number, v.proof)
	_ = e.each(func(i int, addr, key string) {
		if list[i].Reached && list[i].Version < v.number {
			_, _ = e.client.do(addr, "POST", path, key, v.body)
		}
	})
}

func (f *inForce) problem(version uint64) error {
	switch {
	case f.Waiting > 0:
		return &incomplete{code: ExitIncomplete, text: fmt.Sprintf("version %d is accepted, but after %.0f s it is in force on %d of %d reached instances only. Run status; an instance that stays behind reaches neither the table service nor a peer.",
			version, f.Seconds, f.InForce, f.InForce+f.Waiting)}
	case len(f.NotReached) > 0:
		return &incomplete{code: ExitIncomplete, text: fmt.Sprintf("version %d is accepted, but these instances were not reached: %s. Run status for them later.",
			version, strings.Join(f.NotReached, ", "))}
	}
	return nil
}
