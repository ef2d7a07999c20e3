// Package demo runs a small fleet in one process on loopback: stand-ins of the
// platform, engines and services in four data centres, six instances, and
// callers with returning chats. All figures come from the stand-ins and the
// callers, not from the router's counters.
package demo

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/cmd/internal/daemon"
	"cyclamenhitch/standins/model"
	"cyclamenhitch/standins/platform"
	"cyclamenhitch/standins/service"
)

const (
	region        = "montevideo"
	chatPool      = "taller-modelo"
	orderPool     = "registro-pedidos"
	orderRoute    = "pedidos"
	instances     = 6
	engines       = 10
	servers       = 4
	accounts      = 10
	tokenInterval = 20 * time.Millisecond
	orderDelay    = 5 * time.Millisecond
	keepSeconds   = 2
	startTimeout  = 30 * time.Second
)

var dataCentres = []string{"cordon", "goes", "prado", "cerro"}

// fleet is the running demo fleet.
type fleet struct {
	dir        string
	platform   *platform.Server
	meter      *model.Meter
	engines    []*model.Engine
	runCounter *service.RunCounter
	servers    []*service.Server
	daemons    []*daemon.Daemon
	keys       []string // account keys
	operator   string   // operator key
	cancel     context.CancelFunc
	stopped    chan error

	command func(args []string, out, errOut io.Writer) int
}

func engineName(i int) string   { return fmt.Sprintf("engine-%d", i) }
func serverName(i int) string   { return fmt.Sprintf("orders-%d", i) }
func dataCentreOf(i int) string { return dataCentres[i%len(dataCentres)] }

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func newKey() string {
	var b [24]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// startFleet starts everything and waits until all instances are ready.
func startFleet(ctx context.Context, command func([]string, io.Writer, io.Writer) int, log *zap.Logger) (*fleet, error) {
	dir, err := os.MkdirTemp("", "cyclamenhitch-demo-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		dir: dir, meter: model.NewMeter(), runCounter: service.NewRunCounter(),
		operator: newKey(), stopped: make(chan error, instances),
		command: command,
	}
	if f.platform, err = platform.Start("127.0.0.1:0"); err != nil {
		return f, err
	}
	for range accounts {
		f.keys = append(f.keys, newKey())
	}
	if err := f.startBackends(); err != nil {
		return f, err
	}
	if err := f.writeKeys(); err != nil {
		return f, err
	}
	work, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range instances {
		if err := f.startInstance(work, i, log); err != nil {
			return f, err
		}
	}
	if err := f.operate("apply", f.path("manifest.toml"), "--base", "0"); err != nil {
		return f, err
	}
	return f, f.waitReady(ctx)
}

func (f *fleet) startBackends() error {
	for i := range engines {
		e, err := model.Start(model.Config{
			Name: engineName(i), Address: "127.0.0.1:0", TokenInterval: tokenInterval,
			PrefillPerToken: 50 * time.Microsecond, CacheChats: 200, Meter: f.meter,
		})
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	for i := range servers {
		s, err := service.Start(service.Config{
			Name: serverName(i), Address: "127.0.0.1:0", Delay: orderDelay, RunCounter: f.runCounter,
		})
		if err != nil {
			return err
		}
		f.servers = append(f.servers, s)
	}
	return os.WriteFile(f.path("manifest.toml"), []byte(f.manifest()), 0o600)
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) manifest() string {
	var b strings.Builder
	fmt.Fprintf(&b, "format = 1\n\n[fleet]\nname = \"demo\"\nkeep_seconds = %d\n", keepSeconds)
	for _, dc := range dataCentres {
		fmt.Fprintf(&b, "\n[[data_centre]]\nname = %q\nregion = %q\n", dc, region)
	}
	fmt.Fprintf(&b, "\n[[pool]]\nname = %q\ncold_start_seconds = 1\n", chatPool)
	fmt.Fprintf(&b, "\n[[pool]]\nname = %q\nkind = \"service\"\n", orderPool)
	for i, e := range f.engines {
		fmt.Fprintf(&b, "\n[[server]]\nname = %q\npool = %q\ndata_centre = %q\naddress = %q\n", engineName(i), chatPool, dataCentreOf(i), e.Address())
	}
	for i, s := range f.servers {
		fmt.Fprintf(&b, "\n[[server]]\nname = %q\npool = %q\ndata_centre = %q\naddress = %q\n", serverName(i), orderPool, dataCentreOf(i), s.Address())
	}
	for i := range accounts {
		fmt.Fprintf(&b, "\n[[account]]\nname = \"account-%d\"\nkey_sha256 = [%q]\n", i, sha256Hex(f.keys[i]))
	}
	fmt.Fprintf(&b, "\n[[route]]\nname = %q\npool = %q\n", orderRoute, orderPool)
	return b.String()
}

func (f *fleet) writeKeys() error {
	for name, content := range map[string]string{
		"peer.key":     newKey(),
		"secret":       newKey(),
		"operator.key": f.operator,
		"operators":    "demo " + sha256Hex(f.operator) + "\n",
	} {
		if err := os.WriteFile(f.path(name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startInstance(ctx context.Context, i int, log *zap.Logger) error {
	name, dc := fmt.Sprintf("router-%d", i), dataCentreOf(i)
	src := fmt.Sprintf(`instance = %q
data_centre = %q
region = %q
[listen]
caller = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
datagram = "127.0.0.1:0"
[platform]
table = %[4]q
objects = %[4]q
members = "%[4]s/members"
access_key_id = "demo"
secret_file = %[5]q
[trust]
peer_key_file = %[6]q
operator_keys_file = %[7]q
`, name, dc, region, f.platform.URL(), f.path("secret"), f.path("peer.key"), f.path("operators"))
	cfg, err := settings.Parse(name, []byte(src))
	if err != nil {
		return err
	}
	d, err := daemon.New(cfg, log.With(zap.String("instance", name)))
	if err != nil {
		return err
	}
	f.daemons = append(f.daemons, d)
	f.platform.SetMember(name, platform.Member{Target: d.CallerAddress(), Labels: map[string]string{
		"instance": name, "data_centre": dc, "region": region, "state": "live",
		"admin": d.AdminAddress(), "peer": d.PeerAddress(), "datagram": d.DatagramAddress(),
	}})
	go func() { f.stopped <- d.Run(ctx) }()
	return nil
}

// waitReady waits until every instance has the configuration and a first chat
// is answered.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c := newCaller(f, 0)
	for i, d := range f.daemons {
		for c.probe(d.CallerAddress()) != nil {
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance router-%d is not ready after %v", i, startTimeout)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// stop stops the instances as a planned stop, then the stand-ins.
func (f *fleet) stop() {
	if f.cancel != nil {
		f.cancel()
		for range f.daemons {
			<-f.stopped
		}
	}
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
	if f.platform != nil {
		f.platform.Close()
	}
	_ = os.RemoveAll(f.dir)
}
