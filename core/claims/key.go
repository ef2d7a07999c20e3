package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"cyclamenhitch/core/result"
)

// Margins of dated keys. A key may lie in the future by at most futureMargin,
// so a claim of it is at most that much older than its date. expiryMargin
// exceeds futureMargin by the largest clock difference and the longest request,
// so a key is refused before its claim is forgotten.
const (
	futureMargin = 5 * time.Minute
	expiryMargin = time.Hour
)

func hashParts(parts ...string) uint64 {
	h := sha256.New()
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// KeyOf identifies an idempotency key of an account on a route. Two keys with
// the same hash differ in their digest, so a collision ends as a conflict and
// never as a second run.
func KeyOf(account, route, key string) uint64 { return hashParts("key", account, route, key) }

// DigestOf covers what makes two calls the same request.
func DigestOf(account, route, key, method, path string, body []byte) uint64 {
	sum := sha256.Sum256(body)
	return hashParts("digest", account, route, key, method, path, string(sum[:]))
}

// PartitionOf returns the log of a key.
func PartitionOf(key uint64, partitions int) int { return int(key % uint64(partitions)) }

// CheckKeyDate refuses keys that are too old to be told from a forgotten one.
// Only UUIDs of version 7 carry a date; others pass unless dated is set.
func CheckKeyDate(key string, dated bool, now time.Time) error {
	at, ok := dateOf(key)
	switch {
	case !ok && dated:
		return result.New(result.BadRequest, "the route needs an Idempotency-Key that is a UUID of version 7")
	case !ok:
		return nil
	case now.Sub(at) > Retention-expiryMargin:
		return result.New(result.IdempotencyKeyExpired, "the key was made at %s", at.UTC().Format(time.RFC3339))
	case dated && at.Sub(now) > futureMargin:
		return result.New(result.BadRequest, "the key is dated %s, which is in the future", at.UTC().Format(time.RFC3339))
	}
	return nil
}

func dateOf(key string) (time.Time, bool) {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' || key[14] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 || raw[8]>>6 != 2 {
		return time.Time{}, false
	}
	ms := int64(binary.BigEndian.Uint64(raw[:8]) >> 16)
	return time.UnixMilli(ms), true
}
