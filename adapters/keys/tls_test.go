package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"path/filepath"
	"testing"
	"time"
)

// testCA signs certificates of a test fleet.
type testCA struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{t: t}
	a.key, a.cert = a.issue(1)
	return a
}

// issue returns a certificate signed by the authority, or its own one at first.
func (a *testCA) issue(serial int64) (*ecdsa.PrivateKey, *x509.Certificate) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	tpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: a.cert == nil, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = tpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tpl, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return key, cert
}

func pemText(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// Guards against certificates that need a restart, and against files of which
// only some are replaced yet, or which hold a certificate of another authority,
// and which take the working certificate away.
func TestTLSFilesAreReadAgain(t *testing.T) {
	dir, start := t.TempDir(), time.Now().Add(-time.Hour)
	certFile, keyFile, caFile := filepath.Join(dir, "crt"), filepath.Join(dir, "key"), filepath.Join(dir, "ca")
	step := 0
	writePair := func(key *ecdsa.PrivateKey, cert *x509.Certificate) {
		step++
		at := start.Add(time.Duration(step) * time.Minute)
		if cert != nil {
			writeFile(t, certFile, pemText("CERTIFICATE", cert.Raw), at)
		}
		if key != nil {
			der, err := x509.MarshalECPrivateKey(key)
			if err != nil {
				t.Fatal(err)
			}
			writeFile(t, keyFile, pemText("EC PRIVATE KEY", der), at)
		}
	}
	ours, theirs := newTestCA(t), newTestCA(t)
	writeFile(t, caFile, pemText("CERTIFICATE", ours.cert.Raw), start)
	writePair(ours.issue(10))
	files, err := OpenTLS(certFile, keyFile, caFile)
	if err != nil {
		t.Fatal(err)
	}
	check := func(why string, want int64) {
		t.Helper()
		files.checked = time.Time{}
		conf, err := files.Server().GetConfigForClient(&tls.ClientHelloInfo{})
		if err != nil {
			t.Fatal(err)
		}
		if got := conf.Certificates[0].Leaf.SerialNumber.Int64(); got != want {
			t.Errorf("%s: serves certificate %d, want %d", why, got, want)
		}
		if got := files.Client().Certificates[0].Leaf.SerialNumber.Int64(); got != want {
			t.Errorf("%s: calls with certificate %d, want %d", why, got, want)
		}
	}
	check("at the start", 10)
	key, cert := ours.issue(11)
	writePair(nil, cert)
	check("certificate without its key", 10)
	writePair(key, nil)
	check("certificate and key", 11)
	writePair(theirs.issue(12))
	check("certificate of another authority", 11)
	writeFile(t, caFile, pemText("CERTIFICATE", ours.cert.Raw)+pemText("CERTIFICATE", theirs.cert.Raw), start.Add(time.Hour))
	check("with both authorities", 12)
}
