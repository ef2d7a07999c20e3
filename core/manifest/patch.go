package manifest

import (
	"bytes"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cyclamenhitch/core/result"
)

// PatchOp is one operation of a patch between two manifest texts. It copies Count
// parts of the base, as split by SplitEntries, from index Start on or, if Count is
// 0, inserts text.
type PatchOp struct {
	Start, Count uint32
	Insert       []byte
}

// SplitEntries splits a manifest text before each top-level table header, so that a
// sub-table stays with its entry and the first part holds the text before the first
// header. A line of a multi-line string that looks like a header also starts a
// part. This is harmless: the split is the same on every instance, and the
// concatenated parts always give the text.
func SplitEntries(body []byte) [][]byte {
	var parts [][]byte
	start, pos := 0, 0
	for line := range bytes.Lines(body) {
		if pos > start && isEntryHeader(line) {
			parts = append(parts, body[start:pos:pos])
			start = pos
		}
		pos += len(line)
	}
	if start < len(body) {
		parts = append(parts, body[start:len(body):len(body)])
	}
	return parts
}

func isEntryHeader(line []byte) bool {
	if len(line) == 0 || line[0] != '[' {
		return false
	}
	name, _, _ := strings.Cut(string(line), "]")
	return !strings.Contains(name, ".")
}

// Diff returns a patch that turns one manifest text into another.
func Diff(from, to []byte) []PatchOp {
	base, target := SplitEntries(from), SplitEntries(to)
	indexByHash := make(map[uint64]int, len(base))
	for i, part := range base {
		indexByHash[xxhash.Sum64(part)] = i
	}
	var ops []PatchOp
	next := -1 // index of the base part after the last copied one
	for _, part := range target {
		i := next
		if i < 0 || i >= len(base) || !bytes.Equal(base[i], part) {
			var ok bool
			if i, ok = indexByHash[xxhash.Sum64(part)]; ok && !bytes.Equal(base[i], part) {
				ok = false
			}
			if !ok {
				i = -1
			}
		}
		ops = appendOp(ops, i, next, part)
		if i >= 0 {
			next = i + 1
		}
	}
	return ops
}

// appendOp appends a copy of part i of the base or, if i is negative, the insertion
// of part. It extends the last operation where possible.
func appendOp(ops []PatchOp, i, next int, part []byte) []PatchOp {
	n := len(ops)
	switch {
	case i < 0 && n > 0 && ops[n-1].Count == 0:
		ops[n-1].Insert = append(ops[n-1].Insert, part...)
	case i < 0:
		ops = append(ops, PatchOp{Insert: bytes.Clone(part)})
	case n > 0 && ops[n-1].Count > 0 && i == next:
		ops[n-1].Count++
	default:
		ops = append(ops, PatchOp{Start: uint32(i), Count: 1})
	}
	return ops
}

// ApplyPatch applies a patch to a manifest text. The caller must check the digest of
// the result, because a patch that was made for another base yields a wrong text
// without an error.
func ApplyPatch(from []byte, ops []PatchOp) ([]byte, error) {
	base := SplitEntries(from)
	out := make([]byte, 0, len(from)+len(from)/64)
	for _, op := range ops {
		end := uint64(op.Start) + uint64(op.Count)
		if end > uint64(len(base)) {
			return nil, result.New(result.ManifestInvalid, "patch refers to part %d, but the base has %d parts", end, len(base))
		}
		for _, part := range base[uint64(op.Start):end] {
			if out = append(out, part...); len(out) > MaxBytes {
				break
			}
		}
		if out = append(out, op.Insert...); len(out) > MaxBytes {
			return nil, result.New(result.ManifestInvalid, "patched manifest exceeds %d bytes", MaxBytes)
		}
	}
	return out, nil
}
