// Package configstate decides which configuration version an instance uses and
// how a new version is accepted. The row config/head in the table is
// authoritative; each instance holds a copy of the version in force.
package configstate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

// Key of the row that states the version in force.
const (
	headPartition = "config"
	headSort      = "head"
)

// Head is the content of the row config/head.
type Head struct {
	Version uint64 `json:"version"`
	// Object is the name of the manifest body in the object store.
	Object string `json:"object"`
	// SHA256 is the hex digest of the body.
	SHA256 string `json:"sha256"`
	// Operator is the one who submitted the version.
	Operator string `json:"operator"`
	// Recent lists the writers of the last versions, newest first. It resolves a lost reply
	// even after another operator's next version has been accepted.
	Recent []Writer `json:"recent,omitempty"`
}

// Writer identifies the call that wrote a version by its nonce.
type Writer struct {
	Version uint64 `json:"version"`
	Nonce   string `json:"nonce"`
}

// maxRecentWriters is the length of Head.Recent.
const maxRecentWriters = 32

// objectWriteAttempts is the number of attempts to write the body, which is idempotent.
const objectWriteAttempts = 2

// ReadHead reads the head. It returns version 0 if no version has been accepted yet.
func ReadHead(ctx context.Context, t store.Table) (Head, error) {
	row, err := t.Get(ctx, headPartition, headSort)
	if errors.Is(err, store.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, err
	}
	var h Head
	if err := json.Unmarshal(row.Data, &h); err != nil {
		return Head{}, result.Wrap(result.StoreUnavailable, err, "row config/head cannot be decoded")
	}
	h.Version = row.Version
	return h, nil
}

// LoadBody reads the manifest body of a head and checks its digest.
func LoadBody(ctx context.Context, o store.Objects, h Head) ([]byte, error) {
	body, err := o.GetObject(ctx, h.Object)
	if err != nil {
		return nil, err
	}
	if digest(body) != h.SHA256 {
		return nil, result.New(result.StoreUnavailable, "object %s does not match its digest", h.Object)
	}
	return body, nil
}

// Accept validates body and makes it version base+1. nonce must be unique to the call. It
// returns ConfigConflict only if another call wrote base+1 or base is not in force. If the
// reply to the write is lost, it reads the row again; the outcome is Unknown if that does
// not show whether the write took effect.
func Accept(ctx context.Context, t store.Table, o store.Objects, base uint64, body []byte, operator, nonce string) (Head, error) {
	if _, err := manifest.Decode(body); err != nil {
		return Head{}, err
	}
	old, err := ReadHead(ctx, t)
	if err != nil {
		return Head{}, err
	}
	if old.Version != base {
		return Head{}, conflict(base, old.Version)
	}
	h := Head{Version: base + 1, SHA256: digest(body), Operator: operator}
	h.Object = fmt.Sprintf("config/%d-%s.toml", h.Version, nonce)
	h.Recent = append([]Writer{{h.Version, nonce}}, old.Recent[:min(len(old.Recent), maxRecentWriters-1)]...)
	for range objectWriteAttempts {
		if err = o.PutObject(ctx, h.Object, body); err == nil {
			break
		}
	}
	if err != nil {
		return Head{}, err
	}
	data, err := json.Marshal(h)
	if err != nil {
		return Head{}, result.As(err)
	}
	row := store.Row{Partition: headPartition, Sort: headSort, Version: h.Version, Writer: nonce, Data: data}
	if err = t.Put(ctx, row, base); err == nil {
		return h, nil
	}
	return resolveFailedWrite(ctx, t, h, nonce, err)
}

// resolveFailedWrite determines whether the write of h took effect although it failed with
// cause.
func resolveFailedWrite(ctx context.Context, t store.Table, h Head, nonce string, cause error) (Head, error) {
	got, err := ReadHead(ctx, t)
	if err == nil {
		for _, w := range got.Recent {
			if w.Version == h.Version && w.Nonce == nonce {
				return h, nil
			}
			if w.Version == h.Version {
				return Head{}, conflict(h.Version-1, got.Version)
			}
		}
	}
	if errors.Is(cause, store.ErrConditionFailed) {
		return Head{}, result.New(result.ConfigConflict, "base version %d is not in force", h.Version-1)
	}
	return Head{}, result.Wrap(result.StoreUnavailable, cause, "acceptance of version %d is not known", h.Version).WithOutcome(result.Unknown)
}

func conflict(base, inForce uint64) *result.Error {
	if inForce < base {
		return result.New(result.ConfigConflict, "base version %d does not exist", base)
	}
	return result.New(result.ConfigConflict, "base version %d is out of date, version %d is in force", base, inForce)
}

func digest(body []byte) string {
	s := sum(body)
	return hex.EncodeToString(s[:])
}

func sum(body []byte) [sha256.Size]byte { return sha256.Sum256(body) }
