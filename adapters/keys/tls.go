package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"cyclamenhitch/core/result"
)

// TLS holds the certificate of the instance and the certificate authority of the fleet.
// The files are reloaded when one of them changes. While they are inconsistent, the last
// valid content remains in use.
type TLS struct {
	paths [3]string // certificate, key, authority

	mu      sync.Mutex
	cert    tls.Certificate
	roots   *x509.CertPool
	times   [3]time.Time
	checked time.Time
}

// OpenTLS loads the PEM files of the certificate, its key and the certificate authority.
func OpenTLS(certFile, keyFile, caFile string) (*TLS, error) {
	t := &TLS{paths: [3]string{certFile, keyFile, caFile}}
	if err := t.load(); err != nil {
		return nil, err
	}
	t.checked = time.Now()
	return t, nil
}

func (t *TLS) load() error {
	var pem [3][]byte
	var times [3]time.Time
	for i, path := range t.paths {
		info, err := os.Stat(path)
		if err == nil {
			times[i] = info.ModTime()
			pem[i], err = os.ReadFile(path)
		}
		if err != nil {
			return result.Wrap(result.KeyFileInvalid, err, "key file %s cannot be read", path)
		}
	}
	cert, err := tls.X509KeyPair(pem[0], pem[1])
	if err != nil {
		return result.Wrap(result.KeyFileInvalid, err, "certificate %s and key %s", t.paths[0], t.paths[1])
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem[2]) {
		return result.New(result.KeyFileInvalid, "CA file %s contains no certificate", t.paths[2])
	}
	// Every peer would reject a certificate of another authority.
	var rest []*x509.Certificate
	for _, der := range cert.Certificate[1:] {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return result.Wrap(result.KeyFileInvalid, err, "certificate %s", t.paths[0])
		}
		rest = append(rest, c)
	}
	if err := verify(cert.Leaf, rest, roots); err != nil {
		return result.Wrap(result.KeyFileInvalid, err, "certificate %s is not valid under %s", t.paths[0], t.paths[2])
	}
	t.cert, t.roots, t.times = cert, roots, times
	return nil
}

func verify(leaf *x509.Certificate, rest []*x509.Certificate, roots *x509.CertPool) error {
	middle := x509.NewCertPool()
	for _, c := range rest {
		middle.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: middle, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return err
}

func (t *TLS) get() (tls.Certificate, *x509.CertPool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); now.Sub(t.checked) >= reloadInterval {
		t.checked = now
		for i, path := range t.paths {
			if info, err := os.Stat(path); err == nil && !info.ModTime().Equal(t.times[i]) {
				_ = t.load()
				break
			}
		}
	}
	return t.cert, t.roots
}

// Server returns the configuration of a listener. Each connection uses the current
// certificates, and the client must present a certificate of the authority.
func (t *TLS) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := t.get()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots,
			}, nil
		},
	}
}

// Client returns the configuration of one outgoing connection. The authority signs only
// instances of the fleet, whose addresses are not fixed, so the server's certificate is
// verified against the authority but not against a host name.
func (t *TLS) Client() *tls.Config {
	cert, roots := t.get()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert},
		InsecureSkipVerify: true, // replaced by VerifyConnection
		VerifyConnection: func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return errors.New("peer sent no certificate")
			}
			return verify(cs.PeerCertificates[0], cs.PeerCertificates[1:], roots)
		},
	}
}
