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

// metricsPath is the path of the metrics that instances serve.
const metricsPath = "/debug/vars"

// metricsStatus is the status of an instance that runs with --discover and reads its
// configuration from the platform's store. It is decoded from the metrics.
type metricsStatus struct {
	Address    string `json:"address"`
	Reached    bool   `json:"reached"`
	Error      string `json:"error,omitempty"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Version is the configuration version in force. ConfigAgeMillis is the time since
	// a read of the store last confirmed it, nil if none has.
	Version         uint64 `json:"config_version"`
	ConfigAgeMillis *int64 `json:"config_age_ms"`
	// Serving reports whether callers are routed to the instance, Relaying whether it
	// is a relay of its data centre.
	Serving  bool `json:"serving"`
	Relaying bool `json:"relaying"`
	// Running is the number of requests in progress, Peers the number of live
	// instances known to this one.
	Running int      `json:"running"`
	Peers   int      `json:"peers_live"`
	Readers []string `json:"store_readers"`
	// Servers counts the servers of each pool as the instance sees them.
	Servers map[string]poolServers `json:"servers"`
	// PromptParts counts the prompt parts that may crash engines.
	PromptParts promptParts `json:"prompt_parts"`
}

// promptParts counts parts that stood in crashes, and those of them that are kept away from
// the engines.
type promptParts struct {
	Suspect int `json:"Suspect"`
	Blocked int `json:"Blocked"`
}

// poolServers counts the servers of a pool.
type poolServers struct {
	Servers int `json:"Servers"`
	// Out counts servers that receive no new work, Cold those that are starting up,
	// Suspect those that failed recently.
	Out     int `json:"Out"`
	Cold    int `json:"Cold"`
	Suspect int `json:"Suspect"`
	// Leaving counts servers that announced their leaving to the instance, Paused those that
	// asked it for a pause.
	Leaving int `json:"Leaving"`
	Paused  int `json:"Paused"`
	// Running is the number of running requests of all instances, as far as known.
	Running int `json:"Running"`
}

// metricsStatusResult is the JSON output of status --metrics.
type metricsStatusResult struct {
	Given      int             `json:"given"`
	Reached    int             `json:"reached"`
	NotReached []string        `json:"not_reached"`
	Versions   map[uint64]int  `json:"instances_by_version"`
	Instances  []metricsStatus `json:"instances"`
}

// metricsStatuses reads the metrics of all given instances.
func (e *env) metricsStatuses(addresses []string) metricsStatusResult {
	a := metricsStatusResult{Given: len(addresses), NotReached: []string{}, Versions: map[uint64]int{}, Instances: make([]metricsStatus, len(addresses))}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for i, addr := range addresses {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			a.Instances[i] = e.metricsStatus(addr)
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

func (e *env) metricsStatus(addr string) metricsStatus {
	r, err := e.client.send(addr, "GET", metricsPath, "", nil)
	if err != nil {
		return metricsStatus{Address: addr, Error: err.Error()}
	}
	var vars struct {
		Cyclamenhitch *metricsStatus `json:"cyclamenhitch"`
	}
	if err := json.Unmarshal(r.body, &vars); err != nil {
		return metricsStatus{Address: addr, Error: "metrics cannot be read: " + err.Error()}
	}
	if vars.Cyclamenhitch == nil {
		return metricsStatus{Address: addr, Error: "address serves no metrics of cyclamenhitchd --discover"}
	}
	s := *vars.Cyclamenhitch
	s.Address, s.Reached = addr, true
	return s
}

// runMetrics prints the status of instances from their metrics.
func (c *statusCmd) runMetrics(e *env) error {
	stop := e.progress(func() string { return "querying the instances" })
	a := e.metricsStatuses(c.Metrics)
	stop()
	if err := e.print(a, func() { e.printMetricsStatus(a) }); err != nil {
		return err
	}
	return unreachedError(a.Given, a.Reached, a.NotReached)
}

func (e *env) printMetricsStatus(a metricsStatusResult) {
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tINSTANCE\tDATA CENTRE\tVERSION\tCONFIRMED\tSERVING\tRELAY\tRUNNING\tPEERS\tBLOCKED PARTS\tSERVERS")
	for _, s := range a.Instances {
		if !s.Reached {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\t-\t-\t-\t-\t%s\n", s.Address, s.Error)
			continue
		}
		confirmed := "never"
		if s.ConfigAgeMillis != nil {
			confirmed = (time.Duration(*s.ConfigAgeMillis) * time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", s.Address, s.Instance, s.DataCentre, s.Version, confirmed,
			yesNo(s.Serving), yesNo(s.Relaying), s.Running, s.Peers, s.PromptParts.Blocked, poolsText(s.Servers))
	}
	_ = w.Flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// poolsText lists the pools with their server counts. Counts of servers that are out,
// cold, suspect, leaving or paused are left out if zero.
func poolsText(pools map[string]poolServers) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		p := pools[name]
		text := fmt.Sprintf("%s %d", name, p.Servers)
		for _, x := range []struct {
			count int
			state string
		}{{p.Out, "out"}, {p.Cold, "cold"}, {p.Suspect, "suspect"}, {p.Leaving, "leaving"}, {p.Paused, "paused"}} {
			if x.count > 0 {
				text += fmt.Sprintf(", %d %s", x.count, x.state)
			}
		}
		out = append(out, text)
	}
	return strings.Join(out, "; ")
}
