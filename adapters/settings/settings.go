// Package settings reads the TOML settings file of a router instance. A
// Settings value is immutable after Load.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/tomlpos"
)

// Settings configures one router instance.
type Settings struct {
	// Instance is the unique name of the instance. Required.
	Instance fleet.InstanceID `toml:"instance"`
	// DataCentre is the data centre of the instance. Required.
	DataCentre fleet.DataCentreID `toml:"data_centre"`
	// Region is the region of the instance. Required.
	Region fleet.RegionID `toml:"region"`
	// Listen holds the addresses of the instance.
	Listen Listen `toml:"listen"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `toml:"platform"`
	// Trust holds key files.
	Trust Trust `toml:"trust"`
	// Limits bounds what callers can make an instance hold.
	Limits Limits `toml:"limits"`
	// Times holds durations.
	Times Times `toml:"times"`
	// Log configures logging.
	Log Log `toml:"log"`
}

// Listen holds the addresses of the instance, each an IP address and a port.
type Listen struct {
	// Caller serves callers. Required.
	Caller string `toml:"caller"`
	// Admin serves operators. Required.
	Admin string `toml:"admin"`
	// Peer serves RPC calls of other instances over TCP. Required.
	Peer string `toml:"peer"`
	// Datagram receives heartbeats over UDP. Required.
	Datagram string `toml:"datagram"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Table is the URL of the table service. Required.
	Table string `toml:"table"`
	// TableName is the name of the table. Default "cyclamenhitch".
	TableName string `toml:"table_name"`
	// Objects is the URL of the object store. Required.
	Objects string `toml:"objects"`
	// Bucket is the bucket in the object store. Default "cyclamenhitch".
	Bucket string `toml:"bucket"`
	// Members is the URL of the membership list. Required.
	Members string `toml:"members"`
	// CallTimeoutMillis is the deadline of each call, in ms. Default 1000.
	CallTimeoutMillis int `toml:"call_timeout_ms"`
	// AccessKeyID is the name of the key that signs the calls.
	AccessKeyID string `toml:"access_key_id"`
	// SecretFile holds the secret key that signs the calls, 32 bytes or more.
	SecretFile string `toml:"secret_file"`
}

// Trust holds key files. They are read again when they change.
type Trust struct {
	// PeerKeyFile holds the shared key of all instances, 32 bytes or more. Further
	// lines hold keys that are accepted too, while the key is rotated. Required.
	PeerKeyFile string `toml:"peer_key_file"`
	// OperatorKeysFile holds one "name sha256-hex" line for each operator. Required.
	OperatorKeysFile string `toml:"operator_keys_file"`
	// PeerMode is "hmac" or "mtls". Calls between instances are always signed
	// with the shared key; "mtls" adds mutual TLS. Default hmac.
	PeerMode string `toml:"peer_mode"`
	// CertFile is a PEM file with the instance's certificate, needed with "mtls".
	CertFile string `toml:"cert_file"`
	// KeyFile is a PEM file with the key of the certificate, needed with "mtls".
	KeyFile string `toml:"key_file"`
	// CAFile is a PEM file with the certificate authority of the fleet, needed with "mtls".
	CAFile string `toml:"ca_file"`
}

// Values of Trust.PeerMode.
const (
	PeerModeHMAC = "hmac"
	PeerModeMTLS = "mtls"
)

// Limits bounds what callers can make an instance hold.
type Limits struct {
	// MaxBodyBytes is the largest request body. Default 4194304.
	MaxBodyBytes int `toml:"max_body_bytes"`
	// MaxHeaderBytes is the largest request header. Default 16384.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// MaxConnections is the number of caller connections. Default 20000.
	MaxConnections int `toml:"max_connections"`
	// MaxConnectionsPerIP bounds connections of one caller address; 0 means no bound. Default 0.
	MaxConnectionsPerIP int `toml:"max_connections_per_ip"`
	// MaxAnswerBytes is the largest answer that is not streamed. Default 8388608.
	MaxAnswerBytes int `toml:"max_answer_bytes"`
}

// Times holds durations of the instance.
type Times struct {
	// ReadSeconds bounds reading one request. Default 30.
	ReadSeconds int `toml:"read_seconds"`
	// WriteSeconds bounds each write to a caller. Default 30.
	WriteSeconds int `toml:"write_seconds"`
	// IdleSeconds closes idle caller connections. Default 90.
	IdleSeconds int `toml:"idle_seconds"`
	// StopSeconds bounds a planned stop. Default 150.
	StopSeconds int `toml:"stop_seconds"`
	// IsolationSeconds stops new work when neither the table service nor a peer
	// has answered for this long. Default 20.
	IsolationSeconds int `toml:"isolation_seconds"`
	// MaxConfigAgeSeconds stops new work when the table service has not
	// confirmed the configuration for this long; 0 means never. Default 0.
	MaxConfigAgeSeconds int `toml:"max_config_age_seconds"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `toml:"level"`
	// SampleDecisions logs one in this many routing decisions; 0 means none. Default 1000.
	SampleDecisions *int `toml:"sample_decisions"`
}

// Load reads and checks the file. All errors carry file, line and column.
func Load(path string) (*Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "settings file %s cannot be read", path)
	}
	return Parse(path, src)
}

// Parse decodes settings; path is used in error messages only.
func Parse(path string, src []byte) (*Settings, error) {
	var s Settings
	dec := toml.NewDecoder(bytes.NewReader(src))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return nil, result.New(result.SettingsInvalid, "%s", describe(path, err))
	}
	problems := checkZeros(src)
	s.applyDefaults()
	if problems = append(problems, s.check()...); len(problems) > 0 {
		doc := tomlpos.Parse(src)
		lines := make([]string, len(problems))
		for i, p := range problems {
			table, _, _ := strings.Cut(p.key, ".")
			line, col := doc.Position(p.key, table)
			lines[i] = fmt.Sprintf("%s:%d:%d: %s", path, line, col, p.text)
		}
		return nil, result.New(result.SettingsInvalid, "%s", strings.Join(lines, "\n"))
	}
	return &s, nil
}

func describe(path string, err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		lines := make([]string, len(strict.Errors))
		for i, e := range strict.Errors {
			row, col := e.Position()
			lines[i] = fmt.Sprintf("%s:%d:%d: unknown key %s", path, row, col, strings.Join(e.Key(), "."))
		}
		return strings.Join(lines, "\n")
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return fmt.Sprintf("%s:%d:%d: %s", path, row, col, de.Error())
	}
	return path + ": " + err.Error()
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func (s *Settings) applyDefaults() {
	setDefault(&s.Platform.TableName, "cyclamenhitch")
	setDefault(&s.Platform.Bucket, "cyclamenhitch")
	setDefault(&s.Platform.CallTimeoutMillis, 1000)
	setDefault(&s.Trust.PeerMode, PeerModeHMAC)
	setDefault(&s.Limits.MaxBodyBytes, 4<<20)
	setDefault(&s.Limits.MaxHeaderBytes, 16<<10)
	setDefault(&s.Limits.MaxConnections, 20000)
	setDefault(&s.Limits.MaxAnswerBytes, 8<<20)
	setDefault(&s.Times.ReadSeconds, 30)
	setDefault(&s.Times.WriteSeconds, 30)
	setDefault(&s.Times.IdleSeconds, 90)
	setDefault(&s.Times.StopSeconds, 150)
	setDefault(&s.Times.IsolationSeconds, 20)
	setDefault(&s.Log.Level, "info")
	if s.Log.SampleDecisions == nil {
		n := 1000
		s.Log.SampleDecisions = &n
	}
}

type problem struct{ key, text string }

// mayBeZero are the numbers for which 0 has a meaning of its own. For the
// others a written 0 would silently become the default.
var mayBeZero = map[string]bool{
	"limits.max_connections_per_ip": true, "times.max_config_age_seconds": true, "log.sample_decisions": true,
}

func checkZeros(src []byte) []problem {
	var ps []problem
	tomlpos.Walk(src, func(p tomlpos.Entry) {
		if p.IsZero && src[p.Value.Start] == '0' && !mayBeZero[p.Path] {
			ps = append(ps, problem{p.Path, p.Path + " must not be 0; leave the key out for its default"})
		}
	})
	return ps
}

func (s *Settings) check() []problem {
	var ps []problem
	add := func(key, format string, args ...any) {
		ps = append(ps, problem{key, key + " " + fmt.Sprintf(format, args...)})
	}
	for _, r := range []struct{ key, v string }{
		{"instance", string(s.Instance)},
		{"data_centre", string(s.DataCentre)},
		{"region", string(s.Region)},
		{"platform.table", s.Platform.Table},
		{"platform.objects", s.Platform.Objects},
		{"platform.members", s.Platform.Members},
		{"trust.peer_key_file", s.Trust.PeerKeyFile},
		{"trust.operator_keys_file", s.Trust.OperatorKeysFile},
	} {
		if r.v == "" {
			add(r.key, "is required")
		}
	}
	for _, a := range []struct{ key, v string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.admin", s.Listen.Admin},
		{"listen.peer", s.Listen.Peer},
		{"listen.datagram", s.Listen.Datagram},
	} {
		if _, err := netip.ParseAddrPort(a.v); err != nil {
			add(a.key, "is %q, want an IP address and port such as 10.0.0.1:8080", a.v)
		}
	}
	for _, n := range s.numbers() {
		if n.value < n.Min || n.value > n.Max {
			add(n.Key, "is %d, accepted range: %d to %d", n.value, n.Min, n.Max)
		}
	}
	switch t := &s.Trust; t.PeerMode {
	case PeerModeHMAC:
	case PeerModeMTLS:
		for _, f := range []struct{ key, v string }{
			{"trust.cert_file", t.CertFile}, {"trust.key_file", t.KeyFile}, {"trust.ca_file", t.CAFile},
		} {
			if f.v == "" {
				add(f.key, "is required with trust.peer_mode = %q", PeerModeMTLS)
			}
		}
	default:
		add("trust.peer_mode", "is %q, accepted values: %s, %s", t.PeerMode, PeerModeHMAC, PeerModeMTLS)
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		add("log.level", "is %q, accepted values: debug, info, warn, error", s.Log.Level)
	}
	return ps
}

// Number is the accepted range of a numeric setting. docs/operators.md is
// generated from them.
type Number struct {
	Key, Unit string
	Min, Max  int
	value     int
}

func (s *Settings) numbers() []Number {
	return []Number{
		{"platform.call_timeout_ms", "ms", 10, 60000, s.Platform.CallTimeoutMillis},
		{"limits.max_body_bytes", "bytes", 1024, 1 << 30, s.Limits.MaxBodyBytes},
		{"limits.max_header_bytes", "bytes", 1024, 1 << 20, s.Limits.MaxHeaderBytes},
		{"limits.max_connections", "connections", 1, 1 << 20, s.Limits.MaxConnections},
		{"limits.max_connections_per_ip", "connections", 0, 1 << 20, s.Limits.MaxConnectionsPerIP},
		{"limits.max_answer_bytes", "bytes", 1024, 1 << 30, s.Limits.MaxAnswerBytes},
		{"times.read_seconds", "s", 1, 3600, s.Times.ReadSeconds},
		{"times.write_seconds", "s", 1, 3600, s.Times.WriteSeconds},
		{"times.idle_seconds", "s", 1, 3600, s.Times.IdleSeconds},
		{"times.stop_seconds", "s", 1, 86400, s.Times.StopSeconds},
		{"times.isolation_seconds", "s", 1, 86400, s.Times.IsolationSeconds},
		{"times.max_config_age_seconds", "s", 0, 1 << 30, s.Times.MaxConfigAgeSeconds},
		{"log.sample_decisions", "decisions", 0, 1 << 30, *s.Log.SampleDecisions},
	}
}

// Defaults returns the settings of an empty file, without its required ones,
// and the ranges of all numbers.
func Defaults() (*Settings, []Number) {
	var s Settings
	s.applyDefaults()
	return &s, s.numbers()
}
