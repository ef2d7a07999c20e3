package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"cyclamenhitch/core/result"
)

// Margins for keys that contain a timestamp. The timestamp may be ahead by at
// most futureMargin, so a claim is at most that much older than its key's
// timestamp. expiryMargin exceeds futureMargin by the maximum clock skew and the
// longest request, so a key is rejected before its claim expires.
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

// KeyOf hashes an idempotency key with its account and route. Keys with the same
// hash differ in their digest, so a collision results in a conflict and never in
// a second execution.
func KeyOf(account, route, key string) uint64 { return hashParts("key", account, route, key) }

// DigestOf hashes everything that identifies a request. Two calls with the same
// key must have the same digest.
func DigestOf(account, route, key, method, path string, body []byte) uint64 {
	sum := sha256.Sum256(body)
	return hashParts("digest", account, route, key, method, path, string(sum[:]))
}

// PartitionOf returns the partition of a key.
func PartitionOf(key uint64, partitions int) int { return int(key % uint64(partitions)) }

// CheckKeyDate rejects keys so old that their claim may have expired. Only
// version 7 UUIDs contain a timestamp; other keys are accepted unless dated is set.
func CheckKeyDate(key string, dated bool, now time.Time) error {
	at, ok := keyTime(key)
	switch {
	case !ok && dated:
		return result.New(result.BadRequest, "route requires an Idempotency-Key that is a version 7 UUID")
	case !ok:
		return nil
	case now.Sub(at) > Retention-expiryMargin:
		return result.New(result.IdempotencyKeyExpired, "Idempotency-Key was created at %s and has expired", at.UTC().Format(time.RFC3339))
	case dated && at.Sub(now) > futureMargin:
		return result.New(result.BadRequest, "Idempotency-Key has a timestamp in the future: %s", at.UTC().Format(time.RFC3339))
	}
	return nil
}

func keyTime(key string) (time.Time, bool) {
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
