package daemon

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/core/burn"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

const (
	// summaryInterval is the time between two summaries. A crash loses what was
	// counted since the last one.
	summaryInterval = 5 * time.Minute
	// summaryDays is how many days of summaries a report reads: those whose last
	// write is young enough for the longest window's two slots.
	summaryDays = 7
	// summaryPrefix is followed by the day of the write and the life's name. The
	// bucket should expire these objects after 8 days.
	summaryPrefix = "slo/"
	// sloHandoverTimeout bounds the hand-over with the summary that replaces it.
	sloHandoverTimeout = 4 * time.Second
	// sloHandoverPath is served on the peer address.
	sloHandoverPath = "/slo/handover"
	// maxSummaryBytes bounds a summary after decompression: 18,000 accounts
	// take about 3.4 MB.
	maxSummaryBytes = 32 << 20
)

// sloReport is the answer of /admin/slo and the content of a summary.
type sloReport struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Life       string `json:"life"`
	// HandedOver says that a peer counts the snapshot now.
	HandedOver bool                             `json:"handed_over"`
	Snapshot   *burn.Snapshot                   `json:"snapshot"`
	Objectives map[fleet.PoolID]burn.Objectives `json:"objectives"`
	Samples    []burn.Sample                    `json:"samples"`
}

// sloComponent counts requests against the objectives, writes summaries to the
// object store and hands the windows to a peer at a planned stop.
type sloComponent struct {
	d          *Daemon
	life       string
	recorder   *burn.Recorder
	handedOver atomic.Bool
	history    *history
}

func newSLOComponent(d *Daemon) *sloComponent {
	c := &sloComponent{d: d, life: fmt.Sprintf("%s-%x", d.set.Instance, time.Now().UnixMilli())}
	c.recorder = burn.NewRecorder(c.life)
	c.history = newHistory(d)
	d.publishReadyMetric()
	d.peerServer.Mount("/slo/", http.HandlerFunc(c.handleHandover))
	return c
}

// observe implements httpapi.Server.Observe.
func (c *sloComponent) observe(o httpapi.Observation) {
	e := burn.Event{
		Pool: o.Pool, Account: o.Account, DataCentre: o.DataCentre, Code: o.Code, Outcome: o.Outcome,
		// An answer in one part is not a stream; its time is not that of a token.
		Stream: o.Parts > 1, FirstToken: o.FirstPart, BetweenTokens: o.MeanGap,
	}
	if e.DataCentre == "" {
		e.DataCentre = c.d.set.DataCentre
	}
	if x := c.d.config.Index(); x != nil {
		if p := x.Pool(o.Pool); p != nil {
			e.FirstTokenLimit = time.Duration(p.Objectives.FirstTokenMillis) * time.Millisecond
			e.BetweenTokensLimit = time.Duration(p.Objectives.BetweenTokensMillis) * time.Millisecond
		}
	}
	c.recorder.Record(time.Now(), &e)
	c.history.addRequest(o)
	countRequest(o)
}

// run takes samples and writes summaries until ctx ends.
func (c *sloComponent) run(ctx context.Context) {
	sample := time.NewTicker(burn.SampleInterval)
	defer sample.Stop()
	// The random start spreads the writes of instances that start together.
	summary := time.NewTimer(rand.N(summaryInterval))
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sample.C:
			c.history.addSample(time.Now())
		case <-summary.C:
			summary.Reset(summaryInterval)
			if err := c.writeSummary(ctx); err != nil {
				c.d.log.Warn("summary of the objectives cannot be written; it is tried again", zap.Error(err))
			}
		}
	}
}

func (c *sloComponent) report() *sloReport {
	r := &sloReport{
		Instance: string(c.d.set.Instance), DataCentre: string(c.d.set.DataCentre), Life: c.life,
		HandedOver: c.handedOver.Load(), Snapshot: c.recorder.Snapshot(time.Now()),
		Objectives: map[fleet.PoolID]burn.Objectives{}, Samples: c.history.samples(),
	}
	if x := c.d.config.Index(); x != nil {
		for i := range x.Manifest.Pools {
			p := &x.Manifest.Pools[i]
			r.Objectives[p.Name] = objectivesFromManifest(p)
		}
	}
	return r
}

func objectivesFromManifest(p *manifest.Pool) burn.Objectives {
	o := p.Objectives
	return burn.Objectives{
		FirstTokenMillis: o.FirstTokenMillis, BetweenTokensMillis: o.BetweenTokensMillis,
		AvailabilityPercent: o.AvailabilityPercent, RefusedPercent: o.RefusedPercent,
	}
}

func gzipJSON(v any) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// writeSummary replaces this life's object of the day.
func (c *sloComponent) writeSummary(ctx context.Context) error {
	r := c.report()
	if len(r.Snapshot.Pools) == 0 {
		return nil
	}
	body, err := gzipJSON(r)
	if err != nil {
		return err
	}
	name := summaryPrefix + time.Now().UTC().Format(time.DateOnly) + "/" + c.life + ".json.gz"
	if err := c.d.store.PutObject(ctx, name, body); err != nil {
		metricSummaryErrors.Add(1)
		return err
	}
	metricSummaries.Add(1)
	return nil
}

// handover gives the windows to a peer. One peer only is tried: after a lost
// reply a second one could count the events twice. Otherwise the last summary
// holds them; the report leaves it out when the peer has this life.
func (c *sloComponent) handover(ctx context.Context) {
	if len(c.recorder.Snapshot(time.Now()).Pools) == 0 {
		return
	}
	// A stop at its limit still has this long to save the windows.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sloHandoverTimeout)
	defer cancel()
	err := c.sendSnapshot(ctx)
	if err == nil {
		c.handedOver.Store(true)
		return
	}
	c.d.log.Warn("windows of the objectives were not handed over; a summary is written", zap.Error(err))
	if err := c.writeSummary(ctx); err != nil {
		c.d.log.Warn("events since the last summary are lost for reports", zap.Error(err))
	}
}

func (c *sloComponent) sendSnapshot(ctx context.Context) error {
	peer := c.successor()
	if peer == "" {
		return result.New(result.NoInstance, "no peer is known")
	}
	body, err := gzipJSON(c.recorder.Snapshot(time.Now()))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+sloHandoverPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.d.peerClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return result.New(result.NoInstance, "peer %s answered status %d", peer, resp.StatusCode)
	}
	return nil
}

// successor returns the peer address of the instance that takes the windows.
func (c *sloComponent) successor() string {
	var hashes []uint64
	var addrs []string
	for _, m := range c.d.members.View().Members {
		if !m.Leaving && m.ID != c.d.set.Instance && m.Peer != "" {
			hashes = append(hashes, fleet.HashID(string(m.ID)))
			addrs = append(addrs, m.Peer)
		}
	}
	for _, i := range fleet.TopRanked(nil, fleet.HashID(c.life), hashes, 1) {
		return addrs[i]
	}
	return ""
}

// handleHandover serves handOverPath; the peer server has checked the signature.
func (c *sloComponent) handleHandover(w http.ResponseWriter, req *http.Request) {
	var s burn.Snapshot
	if err := gunzipJSON(req.Body, &s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.handedOver.Load() {
		http.Error(w, "the instance is stopping", http.StatusServiceUnavailable)
		return
	}
	if _, err := c.recorder.Merge(time.Now(), &s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.d.log.Info("windows of the objectives taken over", zap.Strings("lives", s.RunIDs))
}

func gunzipJSON(r io.Reader, v any) error {
	z, err := gzip.NewReader(r)
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(z, maxSummaryBytes)).Decode(v)
}

// handleSLO answers /admin/slo?account=NAME; without an account it has all.
func (c *sloComponent) handleSLO(ctx *fasthttp.RequestCtx) {
	r := c.report()
	if accounts := ctx.QueryArgs().PeekMulti("account"); len(accounts) > 0 {
		r.Snapshot.Accounts = slices.DeleteFunc(r.Snapshot.Accounts, func(a burn.AccountSeries) bool {
			return !slices.ContainsFunc(accounts, func(n []byte) bool { return string(n) == string(a.Name) })
		})
	}
	body, err := gzipJSON(r)
	if err != nil {
		writeAdminError(ctx, result.As(err))
		return
	}
	writeGzippedJSON(ctx, body)
}

func writeGzippedJSON(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set("Content-Encoding", "gzip")
	ctx.SetBody(body)
}

// handleSummaries answers the names of the stored summaries of the last days.
func (c *sloComponent) handleSummaries(ctx *fasthttp.RequestCtx) {
	names := []string{}
	for day := range summaryDays {
		prefix := summaryPrefix + time.Now().UTC().AddDate(0, 0, -day).Format(time.DateOnly) + "/"
		list, err := c.d.store.ListObjects(context.Background(), prefix)
		if err != nil {
			writeAdminError(ctx, result.As(err))
			return
		}
		names = append(names, list...)
	}
	writeAdminJSON(ctx, map[string]any{"names": names})
}

// handleSummary answers one stored summary.
func (c *sloComponent) handleSummary(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("name"))
	if !strings.HasPrefix(name, summaryPrefix) {
		writeAdminError(ctx, result.New(result.BadRequest, "parameter name must begin with %s", summaryPrefix))
		return
	}
	body, err := c.d.store.GetObject(context.Background(), name)
	if err != nil {
		writeAdminError(ctx, result.As(err))
		return
	}
	writeGzippedJSON(ctx, body)
}
