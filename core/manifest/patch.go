package manifest

import (
	"bytes"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cyclamenhitch/core/result"
)

// PatchOp is one step of a patch between two manifest bodies: it copies Count
// entries of the base from Start on or, with Count 0, inserts text.
type PatchOp struct {
	Start, Count uint32
	Insert       []byte
}

// SplitEntries cuts a body into its top-level table entries. The first part holds what
// stands before the first entry; a sub-table stays with its entry. The parts
// always join to the body: where a multi-line string looks like an entry, the
// cut is arbitrary but still the same on every instance.
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

// Diff returns the patch from one body to another.
func Diff(from, to []byte) []PatchOp {
	base, target := SplitEntries(from), SplitEntries(to)
	indexByHash := make(map[uint64]int, len(base))
	for i, part := range base {
		indexByHash[xxhash.Sum64(part)] = i
	}
	var ops []PatchOp
	next := -1 // entry of the base that continues the last copy
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

// appendOp adds entry i of the base, or the text when i is negative.
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

// ApplyPatch applies a patch. The caller must check the digest of the result: a
// patch for another base gives another body.
func ApplyPatch(from []byte, ops []PatchOp) ([]byte, error) {
	base := SplitEntries(from)
	out := make([]byte, 0, len(from)+len(from)/64)
	for _, op := range ops {
		end := uint64(op.Start) + uint64(op.Count)
		if end > uint64(len(base)) {
			return nil, result.New(result.ManifestInvalid, "patch names entry %d of %d", end, len(base))
		}
		for _, part := range base[uint64(op.Start):end] {
			if out = append(out, part...); len(out) > MaxBytes {
				break
			}
		}
		if out = append(out, op.Insert...); len(out) > MaxBytes {
			return nil, result.New(result.ManifestInvalid, "patch makes more than %d bytes", MaxBytes)
		}
	}
	return out, nil
}
