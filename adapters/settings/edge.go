package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/rollout"
	"cyclamenhitch/core/tomlpos"
)

// Edge configures an edge instance, which discovers its servers, its peers and its
// configuration through a platform's store.
type Edge struct {
	// Instance is the unique name of the instance. Required.
	Instance fleet.InstanceID `toml:"instance"`
	// DataCentre is the data centre of the instance. Required.
	DataCentre fleet.DataCentreID `toml:"data_centre"`
	// Region is the region of the instance. Required.
	Region fleet.RegionID `toml:"region"`
	// FirstStart tells the instance that the whole fleet starts for the first time, so
	// that it does not ask the engines which prompts they have cached. Default false.
	FirstStart bool `toml:"first_start"`
	// Listen holds the addresses of the instance.
	Listen EdgeListen `toml:"listen"`
	// Store is the host:port address of the platform's store. Required.
	Store string `toml:"store"`
	// Times holds durations.
	Times EdgeTimes `toml:"times"`
	// Limits limits the resources of the instance.
	Limits EdgeLimits `toml:"limits"`
	// Eras holds what to do when the store returns as an older copy of itself.
	Eras EdgeEras `toml:"eras"`
	// Policy weighs and switches the mechanisms that choose a server.
	Policy EdgePolicy `toml:"policy"`
	// Rollout limits gradual roll-outs of new versions of servers.
	Rollout EdgeRollout `toml:"rollout"`
	// Log configures logging.
	Log Log `toml:"log"`
}

// EdgeEras holds durations after a return of the store as an older copy, in ms.
type EdgeEras struct {
	// OperatorMillis is how long an evacuation that the copy lacks, or shows again after its
	// removal, stays as it was, unless the operator writes it again. Default 10000.
	OperatorMillis int `toml:"operator_ms"`
	// CatchUpMillis is how long an instance does not serve because a live peer reports a newer
	// configuration that it cannot get. Default 5000.
	CatchUpMillis int `toml:"catch_up_ms"`
}

// EdgePolicy weighs what a choice of a server costs.
type EdgePolicy struct {
	// FetchWeight is the cost of one ms of transfer of cached prompts between engines, in ms
	// of prompt processing. Accepted: 0 to 100. Default 2.5.
	FetchWeight *float64 `toml:"fetch_weight"`
	// Disabled names mechanisms to switch off, to measure what they are worth. Default none.
	Disabled []string `toml:"disabled"`
	// Enabled names optional mechanisms to switch on. Default none.
	Enabled []string `toml:"enabled"`
}

// EdgeRollout limits gradual roll-outs. Without ExposeShare the versions of servers are ignored.
type EdgeRollout struct {
	// ExposeShare is the fraction of a pool's requests, over all instances and from an order to
	// its deadline, that a version may get which turns out to be bad. Accepted: over 0 to 1.
	// Default: none.
	ExposeShare OptionalNumber `toml:"expose_share"`
	// ExposeSlack is the number of requests that such a version may get beyond ExposeShare.
	// Default 0.
	ExposeSlack OptionalNumber `toml:"expose_slack"`
	// RollbackMillis is the time after its 50th bad answer from which such a version gets no
	// requests, in ms. Accepted: 2000 and more. Default 5000.
	RollbackMillis OptionalNumber `toml:"rollback_ms"`
	// MoveShare is the last fraction of an order's duration in which all requests are moved to
	// the new version. Accepted: 0.1 to 0.5. Default 0.25.
	MoveShare float64 `toml:"move_share"`
	// MaxMoveMillis limits the time of the move, in ms. Accepted: 1000 to 600000. Default 10000.
	MaxMoveMillis int `toml:"max_move_ms"`
}

// defaultRollbackMillis is the default of RollbackMillis.
const defaultRollbackMillis = 5000

// Enabled reports whether roll-outs are limited.
func (r *EdgeRollout) Enabled() bool { return r.ExposeShare.Set }

// Config returns the limits that the settings describe.
func (r *EdgeRollout) Config() rollout.Config {
	return rollout.Config{
		Share: r.ExposeShare.Value, Slack: r.ExposeSlack.Value, RollbackLimit: Millis(int(r.RollbackMillis.Or(defaultRollbackMillis))),
		MoveShare: r.MoveShare, MaxMove: Millis(r.MaxMoveMillis),
	}
}

// check calls add for each invalid setting.
func (r *EdgeRollout) check(add func(key, format string, args ...any)) {
	if s := r.ExposeShare; s.Set && !(s.Value > 0 && s.Value <= 1) {
		add("rollout.expose_share", "is %v, accepted range: over 0 to 1", s.Value)
	}
	if !(r.ExposeSlack.Value >= 0) {
		add("rollout.expose_slack", "is %v, accepted range: 0 and more", r.ExposeSlack.Value)
	}
	if ms := r.RollbackMillis.Or(defaultRollbackMillis); !(ms >= 2000 && ms <= 3600_000) {
		add("rollout.rollback_ms", "is %v, accepted range: 2000 to 3600000", ms)
	}
	if !(r.MoveShare >= 0.1 && r.MoveShare <= 0.5) {
		add("rollout.move_share", "is %v, accepted range: 0.1 to 0.5", r.MoveShare)
	}
	if r.MaxMoveMillis < 1000 || r.MaxMoveMillis > 600_000 {
		add("rollout.max_move_ms", "is %d, accepted range: 1000 to 600000", r.MaxMoveMillis)
	}
}

// PlacementPolicy returns the policy that the settings describe.
func (s *Edge) PlacementPolicy() (placement.Policy, error) {
	p := placement.DefaultPolicy()
	if w := s.Policy.FetchWeight; w != nil {
		p.FetchWeight = *w
	}
	var err error
	if p.Off, err = placement.ParseMechanisms(s.Policy.Disabled); err != nil {
		return p, err
	}
	if p.Enabled, err = placement.ParseOptional(s.Policy.Enabled); err != nil {
		return p, err
	}
	return p, p.Validate()
}

// EdgeListen holds the addresses of the instance, each an IP address and a port.
type EdgeListen struct {
	// Caller serves callers. Required.
	Caller string `toml:"caller"`
	// Ready answers readiness checks. Required.
	Ready string `toml:"ready"`
	// Directory serves address lookups of callers. Required.
	Directory string `toml:"directory"`
	// Peer exchanges reports (UDP) and configuration (TCP) with other instances.
	// Required.
	Peer string `toml:"peer"`
	// Metrics serves counters. Default: none.
	Metrics string `toml:"metrics"`
}

// EdgeTimes holds durations, in ms.
type EdgeTimes struct {
	// RevokeMillis limits how long a key is accepted after its revocation. Default 5000.
	RevokeMillis int `toml:"revoke_ms"`
	// StopMillis limits the duration of a planned stop. Default 8000.
	StopMillis int `toml:"stop_ms"`
	// KeepMillis is how long callers may cache an address. Default 1000.
	KeepMillis int `toml:"keep_ms"`
	// MaxPauseMillis limits the pause that a backend server may ask for. Default 600000.
	MaxPauseMillis int `toml:"max_pause_ms"`
}

// EdgeLimits limits the resources of the instance.
type EdgeLimits struct {
	// MemoryMegabytes is the memory of the instance, in MB. Default 256.
	MemoryMegabytes int `toml:"memory_mb"`
	// Descriptors is the limit of open files and sockets. Default 4096.
	Descriptors int `toml:"descriptors"`
	// LinkMbps is the bandwidth of the instance's network link, in Mbit/s. Where one
	// instance acts for others, those with more bandwidth are preferred. Default 0,
	// which means unknown.
	LinkMbps float64 `toml:"link_mbps"`
	// BodyWindowMillis is the time in which BodyWindowKilobytes of a request body that is in
	// chunks or over 16 KB must arrive, or its end. Default 10000.
	BodyWindowMillis int `toml:"body_window_ms"`
	// BodyPressedMillis is the same time while other bodies wait for memory. Default 3000.
	BodyPressedMillis int `toml:"body_pressed_ms"`
	// BodyWindowKilobytes is the least progress of a request body, in KB. Default 64.
	BodyWindowKilobytes int `toml:"body_window_kb"`
	// RetryRatio is the fraction of a pool's requests that the whole fleet may retry.
	// Default 0.1.
	RetryRatio float64 `toml:"retry_ratio"`
	// RetryBurst is how many retries the whole fleet may send in a burst beyond
	// RetryRatio. Default 30.
	RetryBurst float64 `toml:"retry_burst"`
}

// Millis returns a number of ms as a duration.
func Millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// LoadEdge reads and validates a settings file. Unknown keys are errors. Errors in the
// content include file, line and column.
func LoadEdge(path string) (*Edge, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "settings file %s cannot be read", path)
	}
	return ParseEdge(path, src)
}

// ParseEdge decodes and validates settings. path is used only in error messages.
func ParseEdge(path string, src []byte) (*Edge, error) {
	var s Edge
	dec := toml.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, result.New(result.SettingsInvalid, "%s", describe(path, err))
	}
	s.applyDefaults()
	problems := s.check()
	if len(problems) == 0 {
		return &s, nil
	}
	doc := tomlpos.Parse(src)
	lines := make([]string, len(problems))
	for i, p := range problems {
		table, _, _ := strings.Cut(p.key, ".")
		line, col := doc.Position(p.key, table)
		lines[i] = fmt.Sprintf("%s:%d:%d: %s", path, line, col, p.text)
	}
	return nil, result.New(result.SettingsInvalid, "%s", strings.Join(lines, "\n"))
}

func (s *Edge) applyDefaults() {
	setDefault(&s.Times.RevokeMillis, 5000)
	setDefault(&s.Times.StopMillis, 8000)
	setDefault(&s.Times.KeepMillis, 1000)
	setDefault(&s.Times.MaxPauseMillis, 600_000)
	setDefault(&s.Eras.OperatorMillis, 10_000)
	setDefault(&s.Eras.CatchUpMillis, 5000)
	setDefault(&s.Limits.MemoryMegabytes, 256)
	setDefault(&s.Limits.Descriptors, 4096)
	setDefault(&s.Limits.BodyWindowMillis, 10_000)
	setDefault(&s.Limits.BodyPressedMillis, 3000)
	setDefault(&s.Limits.BodyWindowKilobytes, 64)
	setDefault(&s.Limits.RetryRatio, 0.1)
	setDefault(&s.Limits.RetryBurst, 30)
	setDefault(&s.Rollout.MoveShare, 0.25)
	setDefault(&s.Rollout.MaxMoveMillis, 10_000)
	setDefault(&s.Log.Level, "info")
	if s.Log.SampleDecisions == nil {
		n := 200
		s.Log.SampleDecisions = &n
	}
}

func (s *Edge) check() []problem {
	var ps []problem
	add := func(key, format string, args ...any) {
		ps = append(ps, problem{key, key + " " + fmt.Sprintf(format, args...)})
	}
	for _, r := range []struct{ key, v string }{
		{"instance", string(s.Instance)}, {"data_centre", string(s.DataCentre)}, {"region", string(s.Region)},
	} {
		if r.v == "" {
			add(r.key, "is required")
		}
	}
	addresses := []struct{ key, v string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.ready", s.Listen.Ready},
		{"listen.directory", s.Listen.Directory},
		{"listen.peer", s.Listen.Peer},
		{"store", s.Store},
	}
	if s.Listen.Metrics != "" {
		addresses = append(addresses, struct{ key, v string }{"listen.metrics", s.Listen.Metrics})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.v); err != nil {
			add(a.key, "is %q, want an IP address and port such as 10.0.0.1:8080", a.v)
		}
	}
	for _, n := range []struct {
		key      string
		v        int
		min, max int
	}{
		{"times.revoke_ms", s.Times.RevokeMillis, 500, 3600_000},
		{"times.stop_ms", s.Times.StopMillis, 1000, 3600_000},
		{"times.keep_ms", s.Times.KeepMillis, 100, 600_000},
		{"times.max_pause_ms", s.Times.MaxPauseMillis, 100, 3600_000},
		{"eras.operator_ms", s.Eras.OperatorMillis, 100, 600_000},
		{"eras.catch_up_ms", s.Eras.CatchUpMillis, 100, 60_000},
		{"limits.memory_mb", s.Limits.MemoryMegabytes, 32, 1 << 20},
		{"limits.descriptors", s.Limits.Descriptors, 256, 1 << 20},
		{"limits.body_window_ms", s.Limits.BodyWindowMillis, 1000, 600_000},
		{"limits.body_pressed_ms", s.Limits.BodyPressedMillis, 1000, 600_000},
		{"limits.body_window_kb", s.Limits.BodyWindowKilobytes, 1, 4096},
	} {
		if n.v < n.min || n.v > n.max {
			add(n.key, "is %d, accepted range: %d to %d", n.v, n.min, n.max)
		}
	}
	if _, err := s.PlacementPolicy(); err != nil {
		add("policy", "is invalid: %v", err)
	}
	if r := s.Limits.RetryRatio; r < 0 || r > 1 {
		add("limits.retry_ratio", "is %v, accepted range: 0 to 1", r)
	}
	for _, n := range []struct {
		key string
		v   float64
	}{{"limits.retry_burst", s.Limits.RetryBurst}, {"limits.link_mbps", s.Limits.LinkMbps}} {
		if n.v < 0 {
			add(n.key, "is %v, accepted range: 0 and more", n.v)
		}
	}
	s.Rollout.check(add)
	return ps
}
