// Package keys loads key files and reloads them when they change. Each value holds the
// current keys of its file.
package keys

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"strings"
	"sync"
	"time"

	"cyclamenhitch/core/result"
)

// MinSecretBytes is the minimum length of a shared key.
const MinSecretBytes = 32

// maxSecrets limits the keys of one file, because a datagram with an invalid signature
// is checked against each of them. A rotation needs two.
const maxSecrets = 4

// reloadInterval is the minimum time between checks of a file's modification time.
const reloadInterval = time.Second

// file holds the parsed content of a key file. If a changed file is malformed, the last
// valid content remains in use.
type file[T any] struct {
	path  string
	parse func([]byte) (T, error)

	mu      sync.Mutex
	value   T
	modTime time.Time
	checked time.Time
}

func open[T any](path string, parse func([]byte) (T, error)) (*file[T], error) {
	f := &file[T]{path: path, parse: parse}
	info, err := os.Stat(path)
	if err != nil {
		return nil, result.Wrap(result.KeyFileInvalid, err, "key file %s cannot be read", path)
	}
	if f.value, err = f.read(); err != nil {
		return nil, err
	}
	f.modTime, f.checked = info.ModTime(), time.Now()
	return f, nil
}

func (f *file[T]) read() (T, error) {
	var zero T
	src, err := os.ReadFile(f.path)
	if err != nil {
		return zero, result.Wrap(result.KeyFileInvalid, err, "key file %s cannot be read", f.path)
	}
	v, err := f.parse(src)
	if err != nil {
		return zero, result.Wrap(result.KeyFileInvalid, err, "key file %s", f.path)
	}
	return v, nil
}

func (f *file[T]) get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.checked) < reloadInterval {
		return f.value
	}
	f.checked = now
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modTime) {
		return f.value
	}
	if v, err := f.read(); err == nil {
		f.value, f.modTime = v, info.ModTime()
	}
	return f.value
}

// Secret is a shared key together with the further keys that are accepted during a key
// rotation.
type Secret struct{ f *file[[][]byte] }

// OpenSecret loads a file with one key per line. White space around a key is ignored.
func OpenSecret(path string) (*Secret, error) {
	f, err := open(path, parseSecret)
	if err != nil {
		return nil, err
	}
	return &Secret{f}, nil
}

func parseSecret(src []byte) ([][]byte, error) {
	var out [][]byte
	for i, line := range bytes.Split(bytes.TrimSpace(src), []byte("\n")) {
		key := bytes.TrimSpace(line)
		if len(key) == 0 && i > 0 {
			continue
		}
		if len(key) < MinSecretBytes {
			return nil, result.New(result.KeyFileInvalid, "line %d: has %d bytes, want at least %d", i+1, len(key), MinSecretBytes)
		}
		out = append(out, key)
	}
	if len(out) > maxSecrets {
		return nil, result.New(result.KeyFileInvalid, "has %d keys, want at most %d", len(out), maxSecrets)
	}
	return out, nil
}

// Bytes returns the signing key, which is the first one. The caller must not modify it.
func (s *Secret) Bytes() []byte { return s.f.get()[0] }

// Accepted returns all verification keys, starting with the signing key. The caller must
// not modify them.
func (s *Secret) Accepted() [][]byte { return s.f.get() }

// Operators maps operator keys to operator names.
type Operators struct{ f *file[map[[32]byte]string] }

// OpenOperators loads a file with one "name sha256-hex" line per operator.
func OpenOperators(path string) (*Operators, error) {
	f, err := open(path, parseOperators)
	if err != nil {
		return nil, err
	}
	return &Operators{f}, nil
}

func parseOperators(src []byte) (map[[32]byte]string, error) {
	out := map[[32]byte]string{}
	for i, line := range strings.Split(string(src), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		var sum [32]byte
		if len(fields) != 2 || len(fields[1]) != hex.EncodedLen(len(sum)) {
			return nil, result.New(result.KeyFileInvalid, "line %d: want a name and a hex SHA-256", i+1)
		}
		if _, err := hex.Decode(sum[:], []byte(fields[1])); err != nil {
			return nil, result.New(result.KeyFileInvalid, "line %d: want a name and a hex SHA-256", i+1)
		}
		out[sum] = fields[0]
	}
	if len(out) == 0 {
		return nil, result.New(result.KeyFileInvalid, "contains no operators")
	}
	return out, nil
}

// Name returns the name of the operator with the key, or "".
func (o *Operators) Name(key []byte) string { return o.f.get()[sha256.Sum256(key)] }
