package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// metricsPath is where instances serve their metrics.
const metricsPath = "/debug/vars"

// entryStatus is what status shows of an instance that finds its configuration in a
// platform's store, as its metrics tell.
type entryStatus struct {
	Address    string `json:"address"`
	Reached    bool   `json:"reached"`
	Error      string `json:"error,omitempty"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Version is the configuration in force; ConfigAgeMillis the time since the read
	// that confirmed it, in ms, nil when there was none.
	Version         uint64 `json:"config_version"`
	ConfigAgeMillis *int64 `json:"config_age_ms"`
	// Serving says that callers are sent to it, Relaying that it reports for others.
	Serving  bool `json:"serving"`
	Relaying bool `json:"relaying"`
	// Running is the number of requests that have not ended, Peers the number of live
	// instances that it knows.
	Running int      `json:"running"`
	Peers   int      `json:"peers_live"`
	Readers []string `json:"store_readers"`
	// Servers counts the servers of each pool as the instance sees them.
	Servers map[string]poolServers `json:"servers"`
}

// poolServers counts the servers of a pool.
type poolServers struct {
	Servers int `json:"Servers"`
	// Out may get no new work, Cold start up, Suspect failed lately.
	Out     int `json:"Out"`
	Cold    int `json:"Cold"`
	Suspect int `json:"Suspect"`
	// Running is the number of requests of all instances, as far as known.
	Running int `json:"Running"`
}

// entryStatusAnswer is the JSON answer of status with metrics addresses.
type entryStatusAnswer struct {
	Given      int            `json:"given"`
	Reached    int            `json:"reached"`
	NotReached []string       `json:"not_reached"`
	Versions   map[uint64]int `json:"instances_by_version"`
	Instances  []entryStatus  `json:"instances"`
}

// entryStatuses reads the metrics of all given instances.
func (e *env) entryStatuses(addresses []string) entryStatusAnswer {
	a := entryStatusAnswer{Given: len(addresses), NotReached: []string{}, Versions: map[uint64]int{}, Instances: make([]entryStatus, len(addresses))}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxCalls)
	for i, addr := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			a.Instances[i] = e.entryStatus(addr)
		})
	}
	wg.Wait()
	for _, s := range a.Instances {
		if !s.Reached {
			a.NotReached = append(a.NotReached, s.Address)
			continue
		}
		a.Reached++
		a.Versions[s.Version]++
	}
	return a
}

func (e *env) entryStatus(addr string) entryStatus {
	r, err := e.client.do(addr, "GET", metricsPath, "", nil)
	if err != nil {
		return entryStatus{Address: addr, Error: err.Error()}
	}
	var vars struct {
		Cyclamenhitch *entryStatus `json:"cyclamenhitch"`
	}
	if err := json.Unmarshal(r.body, &vars); err != nil {
		return entryStatus{Address: addr, Error: "the metrics cannot be read: " + err.Error()}
	}
	if vars.Cyclamenhitch == nil {
		return entryStatus{Address: addr, Error: "no metrics of cyclamenhitchd --discover are served there"}
	}
	s := *vars.Cyclamenhitch
	s.Address, s.Reached = addr, true
	return s
}

// runMetrics shows instances by their metrics.
func (c *statusCmd) runMetrics(e *env) error {
	stop := e.progress(func() string { return "asking the instances" })
	a := e.entryStatuses(c.Metrics)
	stop()
	if err := e.print(a, func() { e.printEntryStatus(a) }); err != nil {
		return err
	}
	return notAllReached(a.Given, a.Reached, a.NotReached)
}

func (e *env) printEntryStatus(a entryStatusAnswer) {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tINSTANCE\tDATA CENTRE\tVERSION\tCONFIRMED\tSERVING\tRELAY\tRUNNING\tPEERS\tSERVERS")
	for _, s := range a.Instances {
		if !s.Reached {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\t-\t-\t-\t%s\n", s.Address, s.Error)
			continue
		}
		confirmed := "never"
		if s.ConfigAgeMillis != nil {
			confirmed = (time.Duration(*s.ConfigAgeMillis) * time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\t%s\n", s.Address, s.Instance, s.DataCentre, s.Version, confirmed,
			yesNo(s.Serving), yesNo(s.Relaying), s.Running, s.Peers, poolsText(s.Servers))
	}
	_ = w.Flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// poolsText lists the pools with the numbers of servers, those in trouble only where
// there are any.
func poolsText(pools map[string]poolServers) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		p := pools[name]
		text := fmt.Sprintf("%s %d", name, p.Servers)
		for _, x := range []struct {
			n    int
			what string
		}{{p.Out, "out"}, {p.Cold, "cold"}, {p.Suspect, "suspect"}} {
			if x.n > 0 {
				text += fmt.Sprintf(", %d %s", x.n, x.what)
			}
		}
		out = append(out, text)
	}
	return strings.Join(out, "; ")
}
