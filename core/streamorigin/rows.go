package streamorigin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cyclamenhitch/core/fleet"
)

// Prefixes of the keys of rows.
const (
	versionsPrefix = "versions/"
	startsPrefix   = "starts/"
)

const (
	// maxRowBytes limits the value of a row; the store accepts 64 KB of base64.
	maxRowBytes = 40 << 10
	// startsFormat is the first byte of a row with starts.
	startsFormat = 1
	// hashBytes is the size of a stream's key.
	hashBytes = 8
)

func versionsKey(p fleet.PoolID) string { return versionsPrefix + string(p) }

func startsKey(instance fleet.InstanceID, incarnation uint64) string {
	return startsPrefix + string(instance) + "/" + strconv.FormatUint(incarnation, 10)
}

// historyRow is the stored history of the versions of a pool. Times are in ms of the store's
// clock, since those of the instances may jump.
type historyRow struct {
	// Era is the store's era in which it was written; what a later era lost is unknown.
	Era uint64 `json:"era"`
	// SinceMillis is the time from which on it is complete; 0 means always.
	SinceMillis int64 `json:"since_ms"`
	// Versions maps each version to when it left, 0 while it serves.
	Versions map[string]int64 `json:"versions"`

	// version is the store's version of the row, 0 if there is none.
	version uint64
	// unreadable is set if the row could not be decoded.
	unreadable bool
}

// decodeHistory decodes a row with the history of a pool. It never returns nil.
func decodeHistory(value []byte, version uint64) (*historyRow, error) {
	r := &historyRow{}
	err := json.Unmarshal(value, r)
	if err == nil && (len(r.Versions) == 0 || r.SinceMillis < 0) {
		err = fmt.Errorf("history has %d versions since %d", len(r.Versions), r.SinceMillis)
	}
	if err != nil {
		return &historyRow{version: version, unreadable: true}, err
	}
	r.version = version
	return r, nil
}

// startsRow is a row with the starts of one process of an instance.
type startsRow struct {
	era uint64
	// untilMillis is when the last one expires, in ms of the store's clock.
	untilMillis int64
	// keys are the streams by version.
	keys map[string][]uint64
}

// encode returns the binary form: format, era, untilMillis, then for each version its
// length, its text, the number of streams and 8 bytes for each.
func (r *startsRow) encode() []byte {
	out := []byte{startsFormat}
	out = binary.AppendUvarint(out, r.era)
	out = binary.AppendUvarint(out, uint64(max(0, r.untilMillis)))
	for version, keys := range r.keys {
		out = binary.AppendUvarint(out, uint64(len(version)))
		out = append(out, version...)
		out = binary.AppendUvarint(out, uint64(len(keys)))
		for _, k := range keys {
			out = binary.BigEndian.AppendUint64(out, k)
		}
	}
	return out
}

func decodeStarts(value []byte) (*startsRow, error) {
	if len(value) == 0 || value[0] != startsFormat {
		return nil, fmt.Errorf("starts have %d bytes of an unknown format", len(value))
	}
	rest, bad := value[1:], false
	number := func() uint64 {
		n, size := binary.Uvarint(rest)
		if size <= 0 {
			bad, rest = true, nil
			return 0
		}
		rest = rest[size:]
		return n
	}
	take := func(n uint64) []byte {
		if n > uint64(len(rest)) {
			bad, rest = true, nil
			return nil
		}
		out := rest[:n]
		rest = rest[n:]
		return out
	}
	r := &startsRow{era: number(), untilMillis: int64(number()), keys: map[string][]uint64{}}
	for len(rest) > 0 {
		version := string(take(number()))
		n := number()
		if n > uint64(len(rest)/hashBytes) {
			bad = true
			break
		}
		for part := range slices.Chunk(take(n*hashBytes), hashBytes) {
			r.keys[version] = append(r.keys[version], binary.BigEndian.Uint64(part))
		}
	}
	if bad || r.untilMillis < 0 {
		return nil, fmt.Errorf("starts of %d bytes are incomplete", len(value))
	}
	return r, nil
}

// isOwn reports whether a key is that of starts of any process of the instance.
func isOwn(key string, instance fleet.InstanceID) bool {
	return strings.HasPrefix(key, startsPrefix+string(instance)+"/")
}
