package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"
)

// instanceStatus is the status of one instance.
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

// statuses requests the status of all given instances.
func (e *env) statuses() ([]instanceStatus, error) {
	out := make([]instanceStatus, len(e.Instance))
	err := e.forEachInstance(func(i int, addr, key string) {
		r, err := e.client.send(addr, "GET", "/admin/status", key, nil)
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

// statusResult is the JSON output of status.
type statusResult struct {
	Given      int              `json:"given"`
	Reached    int              `json:"reached"`
	NotReached []string         `json:"not_reached"`
	Versions   map[uint64]int   `json:"instances_by_version"`
	Instances  []instanceStatus `json:"instances"`
}

func (c *statusCmd) Run(e *env) error {
	if len(c.Metrics) > 0 {
		return c.runMetrics(e)
	}
	stop := e.progress(func() string { return "querying the instances" })
	list, err := e.statuses()
	stop()
	if err != nil {
		return err
	}
	a := statusResult{Given: len(list), NotReached: []string{}, Versions: map[uint64]int{}, Instances: list}
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
	return unreachedError(a.Given, a.Reached, a.NotReached)
}

// unreachedError returns an error if not every given instance was reached.
func unreachedError(given, reached int, missing []string) error {
	if reached == given {
		return nil
	}
	code := ExitIncomplete
	if reached == 0 {
		code = ExitFailed
	}
	return &incompleteError{code: code, text: fmt.Sprintf("%d of %d instances were not reached: %s. Check the addresses, or whether these instances run.",
		given-reached, given, strings.Join(missing, ", "))}
}

func (e *env) printStatus(a statusResult) {
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

// rolloutStatus counts the given instances that have a version in force.
type rolloutStatus struct {
	Given      int      `json:"given"`
	InForce    int      `json:"in_force"`
	Waiting    int      `json:"waiting"`
	NotReached []string `json:"not_reached"`
	Seconds    float64  `json:"seconds"`
}

// rolloutPollInterval is the time between two status requests to an instance.
const rolloutPollInterval = 100 * time.Millisecond

// offerDelay is the time after which the command offers a version to the reached
// instances that do not have it yet. By then it has propagated to the instances that
// reach the table service or a peer with the version; the bound for this is 4 s.
const offerDelay = time.Second

// waitInForce polls the instances until all reached ones have the version or the limit
// passes. After offerDelay it offers the version to those that lack it.
func (e *env) waitInForce(v version, limit time.Duration) (*rolloutStatus, error) {
	start, version := time.Now(), v.number
	offered := false
	var f rolloutStatus
	var inForceCount, reachedCount atomic.Int64
	stop := e.progress(func() string {
		return fmt.Sprintf("waiting until version %d is in force: %d of %d reached instances", version, inForceCount.Load(), reachedCount.Load())
	})
	defer stop()
	for {
		list, err := e.statuses()
		if err != nil {
			return nil, err
		}
		f = rolloutStatus{Given: len(list), NotReached: []string{}}
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
		inForceCount.Store(int64(f.InForce))
		reachedCount.Store(int64(f.InForce + f.Waiting))
		if (f.Waiting == 0 && f.InForce > 0) || time.Since(start) >= limit {
			return &f, nil
		}
		if !offered && time.Since(start) >= offerDelay {
			offered = true
			e.offer(v, list)
		}
		time.Sleep(rolloutPollInterval)
	}
}

// offer sends the version to the reached instances that do not have it. Errors are
// ignored: an instance without the version stays visible in the next status poll.
func (e *env) offer(v version, list []instanceStatus) {
	if v.proof == "" {
		return
	}
	path := fmt.Sprintf("/admin/offer?version=%d&proof=%s", v.number, v.proof)
	_ = e.forEachInstance(func(i int, addr, key string) {
		if list[i].Reached && list[i].Version < v.number {
			_, _ = e.client.send(addr, "POST", path, key, v.body)
		}
	})
}

// rolloutError returns an error if an instance was not reached or does not have the
// version in force.
func (f *rolloutStatus) rolloutError(version uint64) error {
	switch {
	case f.Waiting > 0:
		return &incompleteError{code: ExitIncomplete, text: fmt.Sprintf("version %d is accepted, but after %.0f s it is in force on only %d of %d reached instances. Run status; an instance without the version reaches neither the table service nor a peer that has it.",
			version, f.Seconds, f.InForce, f.InForce+f.Waiting)}
	case len(f.NotReached) > 0:
		return &incompleteError{code: ExitIncomplete, text: fmt.Sprintf("version %d is accepted, but these instances were not reached: %s. Run status for them later.",
			version, strings.Join(f.NotReached, ", "))}
	}
	return nil
}
