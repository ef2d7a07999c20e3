// Package daemon assembles a router instance: it connects the decision logic of
// the core module to the adapters and starts and stops them in order.
package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/adapters/keys"
	"cyclamenhitch/adapters/peer"
	"cyclamenhitch/adapters/platform"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// maxStoreCalls limits concurrent calls to the table service and object store, so
// that one instance cannot overload a store that has just recovered.
const maxStoreCalls = 8

// maxResponseMemory limits the bodies of all responses under way, in bytes.
const maxResponseMemory = 256 << 20

// Daemon is one router instance.
type Daemon struct {
	set *settings.Settings
	log *zap.Logger

	store     *platform.Store
	operators *keys.Operators
	peerKey   *keys.Secret

	// peerServer and peerClient carry calls between instances, and traffic counts
	// them. A component mounts its Twirp service in its constructor.
	peerServer *peer.Server
	peerClient *peer.Client
	traffic    peer.Traffic

	config    *configComponent
	members   *memberComponent
	admission *admissionComponent
	claims    *claimsComponent
	orders    *ordersComponent
	callers   *httpapi.Server
	admin     *adminComponent
	stopper   *stopper
	slo       *sloComponent

	callerLn, adminLn, peerLn net.Listener
}

// New reads the key files and opens all listeners. Run starts the background
// work and serves requests.
func New(set *settings.Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{set: set, log: log}
	var err error
	if d.operators, err = keys.OpenOperators(set.Trust.OperatorKeysFile); err != nil {
		return nil, err
	}
	if d.peerKey, err = keys.OpenSecret(set.Trust.PeerKeyFile); err != nil {
		return nil, err
	}
	var secret func() []byte
	if set.Platform.SecretFile != "" {
		k, err := keys.OpenSecret(set.Platform.SecretFile)
		if err != nil {
			return nil, err
		}
		secret = k.Bytes
	}
	d.store = platform.NewStore(platform.Config{
		TableURL: set.Platform.Table, TableName: set.Platform.TableName,
		ObjectsURL: set.Platform.Objects, Bucket: set.Platform.Bucket,
		AccessKeyID: set.Platform.AccessKeyID, SecretKey: secret,
		CallTimeout:   time.Duration(set.Platform.CallTimeoutMillis) * time.Millisecond,
		MaxConcurrent: maxStoreCalls,
	})
	peerTLS, err := openPeerTLS(set)
	if err != nil {
		return nil, err
	}
	d.peerServer = peer.NewServer(d.peerKey, peerTLS, &d.traffic)
	d.peerClient = peer.NewClient(d.peerKey, peerTLS, &d.traffic)
	d.buildComponents()
	if d.callerLn, err = listen(set.Listen.Caller); err != nil {
		return nil, err
	}
	if d.adminLn, err = listen(set.Listen.Admin); err != nil {
		return nil, err
	}
	if d.peerLn, err = listen(set.Listen.Peer); err != nil {
		return nil, err
	}
	if err := d.members.open(); err != nil {
		return nil, err
	}
	d.publishControlMetrics()
	d.publishPlatform()
	return d, nil
}

// openPeerTLS loads the mutual TLS files, or returns nil if mutual TLS is off.
func openPeerTLS(set *settings.Settings) (peer.TLS, error) {
	if set.Trust.PeerMode != settings.PeerModeMTLS {
		return nil, nil
	}
	t, err := keys.OpenTLS(set.Trust.CertFile, set.Trust.KeyFile, set.Trust.CAFile)
	if err != nil {
		return nil, err
	}
	return t, nil
}

func listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "address %s cannot be used", addr)
	}
	return ln, nil
}

func (d *Daemon) buildComponents() {
	d.stopper = &stopper{d: d}
	d.config = newConfigComponent(d)
	d.members = newMemberComponent(d)
	d.admission = newAdmissionComponent(d)
	d.claims = newClaimsComponent(d)
	d.orders = newOrdersComponent(d)
	d.slo = newSLOComponent(d)
	memory := budget.NewBytes(maxResponseMemory)
	gw := &gateway.Gateway{
		Memory:   memory,
		Router:   d.admission,
		Admitter: d.admission,
		Upstream: &engine.Client{MaxAnswerBytes: d.set.Limits.MaxAnswerBytes, Memory: memory},
		Claimer:  d.claims,
		Budget:   d.admission,
		Now:      time.Now,
		Sleep:    sleep,
		Int64N:   rand.Int64N,
	}
	d.callers = &httpapi.Server{
		Memory: memory,
		Config: d.config.Index, Opener: gw, Directory: d.members, Admission: d.config,
		Log: d.log, NewID: newID, Observe: d.slo.observe,
	}
	d.admin = newAdminComponent(d)
}

// sleep waits for dur or until ctx ends.
func sleep(ctx context.Context, dur time.Duration) error {
	t := time.NewTimer(dur)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func newID() string {
	var b [12]byte
	_, _ = crand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// CallerAddress returns the address that callers connect to.
func (d *Daemon) CallerAddress() string { return d.callerLn.Addr().String() }

// AdminAddress returns the address that operators connect to.
func (d *Daemon) AdminAddress() string { return d.adminLn.Addr().String() }

// PeerAddress returns the address that other instances connect to.
func (d *Daemon) PeerAddress() string { return d.peerLn.Addr().String() }

// DatagramAddress returns the address that receives heartbeats.
func (d *Daemon) DatagramAddress() string { return d.members.socket.Address() }

// Run serves until ctx ends, then lets running requests finish. Requests that
// still run after times.stop_seconds are aborted.
func (d *Daemon) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	errs := make(chan error, 4)
	go func() { errs <- d.callers.Serve(d.callerLn, d.callerLimits()) }()
	go func() { errs <- d.admin.serve(d.adminLn) }()
	go func() { errs <- d.peerServer.Serve(d.peerLn) }()
	go d.config.run(work)
	go d.members.run(work)
	go d.slo.run(work)
	go d.admission.run(work)
	go d.claims.run(work)
	orders := make(chan struct{})
	go func() { defer close(orders); d.orders.run(ctx) }()
	d.log.Info("instance started", zap.String("caller", d.CallerAddress()), zap.String("admin", d.AdminAddress()),
		zap.String("peer", d.PeerAddress()), zap.String("datagram", d.DatagramAddress()))
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
	}
	err := d.stopper.run()
	<-orders // has released its leases, so that the next holder need not wait for their expiry
	return err
}

func (d *Daemon) callerLimits() httpapi.Limits {
	l, t := d.set.Limits, d.set.Times
	return httpapi.Limits{
		MaxBodyBytes: l.MaxBodyBytes, MaxHeaderBytes: l.MaxHeaderBytes,
		MaxConnections: l.MaxConnections, MaxConnectionsPerIP: l.MaxConnectionsPerIP,
		ReadTimeout:  time.Duration(t.ReadSeconds) * time.Second,
		WriteTimeout: time.Duration(t.WriteSeconds) * time.Second,
		IdleTimeout:  time.Duration(t.IdleSeconds) * time.Second,
	}
}

// bearerKey returns the key in an Authorization header value.
func bearerKey(header string) []byte {
	key, _ := strings.CutPrefix(header, "Bearer ")
	return []byte(key)
}
