package operator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"cyclamenhitch/core/burn"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

type burnCmd struct {
	Account []string `help:"Show only these client accounts; with thousands of accounts this also shortens the transfer." placeholder:"NAME"`
	Top     int      `help:"Number of accounts in the text and the page, most burnt first; --json has all." default:"20"`
	HTML    string   `name:"html" help:"Write the report with plots to this file, as one page." placeholder:"FILE"`
}

// sloReport is the response of an instance to /admin/slo and the content of a stored
// summary.
type sloReport struct {
	Instance   string                           `json:"instance"`
	RunID      string                           `json:"life"`
	HandedOver bool                             `json:"handed_over"`
	Snapshot   *burn.Snapshot                   `json:"snapshot"`
	Objectives map[fleet.PoolID]burn.Objectives `json:"objectives"`
	Samples    []burn.Sample                    `json:"samples"`
}

// burnReport is the JSON output of report burn.
type burnReport struct {
	At         time.Time          `json:"at"`
	Windows    []string           `json:"windows"`
	Given      int                `json:"given"`
	Reached    int                `json:"reached"`
	NotReached []string           `json:"not_reached"`
	Summaries  int                `json:"summaries_used"`
	Notes      []string           `json:"notes"`
	Rules      []string           `json:"alert_rules"`
	Pools      []burn.Subject     `json:"pools"`
	Accounts   []burn.Subject     `json:"accounts"`
	Measures   []burn.FleetSample `json:"measures"`
}

func (c *burnCmd) Run(e *env) error {
	stop := e.progress(func() string { return "collecting reports from the instances and the object store" })
	r, err := c.collect(e)
	stop()
	if err != nil {
		return err
	}
	if c.HTML != "" {
		page, err := renderPage(r, c.Top)
		if err != nil {
			return result.Wrap(result.Internal, err, "the page cannot be rendered")
		}
		if err := os.WriteFile(c.HTML, page, 0o644); err != nil {
			return result.Wrap(result.BadRequest, err, "the page cannot be written")
		}
	}
	if err := e.print(r, func() { e.printBurn(r, c.Top) }); err != nil {
		return err
	}
	if r.Reached < r.Given {
		return &incompleteError{code: ExitIncomplete, text: fmt.Sprintf("%d of %d instances were not reached: %s. Their last stored summaries are used where available.",
			r.Given-r.Reached, r.Given, strings.Join(r.NotReached, ", "))}
	}
	return nil
}

func (c *burnCmd) collect(e *env) (*burnReport, error) {
	r := &burnReport{
		At: time.Now().UTC().Truncate(time.Second), Windows: burn.WindowNames[:], Given: len(e.Instance),
		NotReached: []string{}, Notes: []string{},
		Rules: []string{
			fmt.Sprintf("page: burn rate at least %v over 5m and 1h", burn.PageFactor),
			fmt.Sprintf("ticket: burn rate at least %v over 6h and 3d", burn.TicketFactor),
		},
	}
	reports, err := c.collectFromInstances(e, r)
	if err != nil {
		return nil, err
	}
	if r.Reached == 0 {
		return nil, result.New(result.NoInstance, "none of %d instances answered: %s", r.Given, strings.Join(r.NotReached, ", "))
	}
	total, objectives, samples := mergeReports(r.At, reports, r)
	c.addSummaries(e, r, total, &samples)
	r.Pools = total.PoolReports(r.At, objectives)
	r.Accounts = total.AccountReports(r.At, burn.StrictestObjectives(objectives))
	r.Measures = burn.MergeSamples(samples)
	return r, nil
}

func (c *burnCmd) collectFromInstances(e *env, r *burnReport) ([]*sloReport, error) {
	p := "/admin/slo"
	if len(c.Account) > 0 {
		p += "?" + url.Values{"account": c.Account}.Encode()
	}
	var mu sync.Mutex
	var reports []*sloReport
	var refused error
	err := e.forEachInstance(func(_ int, addr, key string) {
		rep, err := e.fetchReport(addr, p, key)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			r.NotReached = append(r.NotReached, addr)
			if result.As(err).Code == result.OperatorForbidden {
				refused = err
			}
			return
		}
		r.Reached++
		reports = append(reports, rep)
	})
	if err == nil && r.Reached == 0 {
		err = refused
	}
	slices.Sort(r.NotReached)
	return reports, err
}

func (e *env) fetchReport(addr, p, key string) (*sloReport, error) {
	a, err := e.client.send(addr, "GET", p, key, nil)
	if err != nil {
		return nil, err
	}
	var rep sloReport
	if err := json.NewDecoder(bytes.NewReader(a.body)).Decode(&rep); err != nil || rep.Snapshot == nil {
		return nil, result.New(result.AnswerInvalid, "instance %s: response is not an SLO report", addr)
	}
	return &rep, nil
}

// mergeReports merges the reports of the instances. Reports that cover the most run
// IDs are merged first, so that no run is counted twice. Reports of instances that
// handed their windows over to a peer are merged last and count only if that peer
// was not reached.
func mergeReports(at time.Time, reports []*sloReport, r *burnReport) (*burn.Recorder, map[fleet.PoolID]burn.Objectives, []burn.Sample) {
	total := burn.NewRecorder("")
	objectives := map[fleet.PoolID]burn.Objectives{}
	var samples []burn.Sample
	slices.SortFunc(reports, func(a, b *sloReport) int {
		if a.HandedOver != b.HandedOver {
			if b.HandedOver {
				return -1
			}
			return 1
		}
		return cmp.Or(len(b.Snapshot.RunIDs)-len(a.Snapshot.RunIDs), cmp.Compare(a.RunID, b.RunID))
	})
	for _, rep := range reports {
		samples = append(samples, rep.Samples...)
		for id, o := range rep.Objectives {
			objectives[id] = o
		}
		if ok, err := total.Merge(at, rep.Snapshot); err != nil {
			r.Notes = append(r.Notes, fmt.Sprintf("instance %s is left out: %v", rep.Instance, err))
		} else if !ok && !rep.HandedOver {
			r.Notes = append(r.Notes, fmt.Sprintf("instance %s is left out: its windows are in the report of another instance", rep.Instance))
		}
	}
	return total, objectives, samples
}

// addSummaries adds the stored summaries of runs that no collected report covers:
// those of instances that crashed or were not reached.
func (c *burnCmd) addSummaries(e *env, r *burnReport, total *burn.Recorder, samples *[]burn.Sample) {
	var list struct {
		Names []string `json:"names"`
	}
	if err := e.callJSON("GET", "/admin/slo/summaries", nil, &list); err != nil {
		r.Notes = append(r.Notes, "stored summaries cannot be listed, so crashed instances are missing: "+errorText(result.As(err)))
		return
	}
	counted := map[string]bool{}
	for _, id := range total.RunIDs() {
		counted[id] = true
	}
	newest := map[string]string{} // object name by run ID; object names begin with the day
	slices.Sort(list.Names)
	for _, n := range list.Names {
		if runID := strings.TrimSuffix(path.Base(n), ".json.gz"); !counted[runID] {
			newest[runID] = n
		}
	}
	var found []*sloReport
	for _, name := range newest {
		a, err := e.callFirst("GET", "/admin/slo/summary?name="+url.QueryEscape(name), nil)
		var rep sloReport
		if err == nil {
			err = json.Unmarshal(a.body, &rep)
		}
		if err != nil || rep.Snapshot == nil {
			r.Notes = append(r.Notes, fmt.Sprintf("summary %s cannot be read", name))
			continue
		}
		rep.Snapshot.Accounts = c.filterAccounts(rep.Snapshot.Accounts)
		found = append(found, &rep)
	}
	slices.SortFunc(found, func(a, b *sloReport) int {
		return cmp.Or(len(b.Snapshot.RunIDs)-len(a.Snapshot.RunIDs), cmp.Compare(a.RunID, b.RunID))
	})
	for _, rep := range found {
		if ok, err := total.Merge(r.At, rep.Snapshot); ok && err == nil {
			r.Summaries++
			*samples = append(*samples, rep.Samples...)
		}
	}
}

func (c *burnCmd) filterAccounts(accounts []burn.AccountSeries) []burn.AccountSeries {
	if len(c.Account) == 0 {
		return accounts
	}
	return slices.DeleteFunc(accounts, func(a burn.AccountSeries) bool { return !slices.Contains(c.Account, string(a.Name)) })
}
