package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/peer/configpb"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/membership"
	platformfake "cyclamenhitch/standins/platform"
)

// Instances must discover each other through the platform's membership list, and
// lookups must not return an instance that has announced a planned stop.
func TestMembersFindEachOther(t *testing.T) {
	f := newFixture(t)
	other := f.startInstance("r2")
	f.applyManifest()
	pool := f.daemon.config.Index().PoolByModel("taller-modelo")
	f.eventually("both instances in both views", func() bool {
		return other.members.View().Find("r1") != nil && f.daemon.members.View().Find("r2") != nil
	})
	other.members.announceLeaving()
	f.eventually("leaving seen", func() bool {
		m := f.daemon.members.View().Find("r2")
		addrs := f.daemon.members.Addresses(pool, 1)
		return m != nil && m.Leaving && !m.Eligible && len(addrs) == 1 && addrs[0] == f.daemon.CallerAddress()
	})
}

// While the store is down, an instance must obtain the configuration from its
// peers, both at start and when its own version is old.
func TestConfigurationFromPeers(t *testing.T) {
	f := newFixture(t)
	f.applyManifest()
	f.platform.SetFault(platformfake.Fault{DropReplies: 1})
	second := f.writeFile("second.toml", f.manifest()+"[[account]]\nname = \"late\"\n")
	if code, out := f.runOperator("apply", second, "--base", "1"); code != 0 {
		t.Fatalf("apply with a lost reply: exit code %d: %s", code, out)
	}
	other := f.startInstance("r2")
	f.eventually("r2 in the view", func() bool { return f.daemon.members.View().Find("r2") != nil })
	f.platform.SetFault(platformfake.Fault{Down: true})
	third := f.startInstance("r3")
	// The fault also covers the membership list, so the test passes it on directly.
	third.members.update(func(m *membership.Detector) { m.ApplyList(time.Now(), f.daemon.members.View().Members) })
	f.eventually("version 2 in force everywhere", func() bool {
		return other.config.version() == 2 && third.config.version() == 2
	})
	if age := third.config.confirmedAge(); age != -1 {
		t.Fatalf("r3 reports a confirmation %v ago, but has never reached the store", age)
	}
	if err := third.config.Check(); err != nil {
		t.Fatalf("r3 accepts no new work: %v", err)
	}
}

// With mutual TLS, instances of the same authority must connect, certificates of
// another authority must be rejected on both sides, and an instance must not start
// with missing or broken files.
func TestMutualTLS(t *testing.T) {
	f := newFixture(t)
	trust := func(ca string) string {
		return fmt.Sprintf("peer_mode = \"mtls\"\ncert_file = %q\nkey_file = %q\nca_file = %q\n",
			filepath.Join(f.dir, ca+".crt"), filepath.Join(f.dir, ca+".key"), filepath.Join(f.dir, ca+".ca"))
	}
	f.writeCertificates("fleet")
	f.writeCertificates("other")
	a, b, c := f.startInstance("t1", trust("fleet")), f.startInstance("t2", trust("fleet")), f.startInstance("t3", trust("other"))
	f.applyManifest()
	f.eventually("version in force", func() bool { return a.config.version() == 1 && b.config.version() == 1 && c.config.version() == 1 })
	ctx := t.Context()
	if _, err := a.config.peerClient(b.PeerAddress()).Offer(ctx, newOffer(a)); err != nil {
		t.Fatalf("same authority: %v", err)
	}
	for _, d := range []*Daemon{c, f.daemon} {
		if _, err := a.config.peerClient(d.PeerAddress()).Offer(ctx, newOffer(a)); err == nil {
			t.Fatalf("t1 called %s, which has no certificate of its authority", d.set.Instance)
		}
		if _, err := d.config.peerClient(a.PeerAddress()).Offer(ctx, newOffer(d)); err == nil {
			t.Fatalf("%s called t1 without a certificate of its authority", d.set.Instance)
		}
	}
	anonymous := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	if resp, err := anonymous.Post("https://"+a.PeerAddress()+"/", "text/plain", nil); err == nil {
		_ = resp.Body.Close()
		t.Fatalf("t1 answers a client without a certificate with status %d", resp.StatusCode)
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(f.dir, "other.crt"), filepath.Join(f.dir, "other.key"))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{pair}})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() { _ = http.Serve(ln, http.NotFoundHandler()) }()
	if _, err := a.config.peerClient(ln.Addr().String()).Offer(ctx, newOffer(a)); err == nil || !strings.Contains(err.Error(), "unknown authority") {
		t.Fatalf("t1 called a server with a certificate of another authority: %v", err)
	}
	f.writeFile("fleet.key", "broken")
	set := *a.set
	if _, err := New(&set, zap.NewNop()); err == nil || !strings.Contains(err.Error(), "fleet.key") {
		t.Fatalf("start with a broken key file: %v", err)
	}
	if _, err := settings.Parse("s.toml", []byte("[trust]\npeer_mode = \"mtls\"\n")); err == nil || !strings.Contains(err.Error(), "trust.cert_file is required") {
		t.Fatalf("mtls without files: %v", err)
	}
}

func newOffer(d *Daemon) *configpb.OfferRequest {
	return &configpb.OfferRequest{Instance: string(d.set.Instance), Peer: d.PeerAddress(), Version: 1}
}

// writeCertificates writes the files of a new certificate authority and of a
// certificate and key that it signed.
func (f *fixture) writeCertificates(name string) {
	f.t.Helper()
	caKey, ca := f.newCertificate(nil, nil)
	key, cert := f.newCertificate(ca, caKey)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		f.t.Fatal(err)
	}
	block := func(kind string, der []byte) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
	}
	f.writeFile(name+".ca", block("CERTIFICATE", ca.Raw))
	f.writeFile(name+".crt", block("CERTIFICATE", cert.Raw))
	f.writeFile(name+".key", block("EC PRIVATE KEY", der))
}

// newCertificate returns a certificate signed by parent, or a self-signed authority
// if parent is nil.
func (f *fixture) newCertificate(parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	f.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		f.t.Fatal(err)
	}
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: parent == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if parent == nil {
		parent, signer = tpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, parent, &key.PublicKey, signer)
	if err != nil {
		f.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		f.t.Fatal(err)
	}
	return key, cert
}
