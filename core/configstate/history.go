package configstate

import (
	"bytes"
	"crypto/sha256"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// maxHistoryPatches limits the patches kept for peers with an older version. At 1,600
// changes a day, 64 patches cover about an hour.
const maxHistoryPatches = 64

// Body is one version of the manifest.
type Body struct {
	Version  uint64
	Sum      [sha256.Size]byte
	Operator string
	Text     []byte
}

type historyPatch struct {
	from, to [sha256.Size]byte
	ops      []manifest.PatchOp
	bytes    int
}

// History holds the body in force and the patches that led to it. It is not
// safe for concurrent use.
type History struct {
	current Body
	patches []historyPatch
}

// Current returns the body in force; Version is 0 without one.
func (h *History) Current() Body { return h.current }

// Push makes b the current body.
func (h *History) Push(b Body) {
	if h.current.Version > 0 {
		s := historyPatch{from: h.current.Sum, to: b.Sum, ops: manifest.Diff(h.current.Text, b.Text)}
		for _, op := range s.ops {
			s.bytes += len(op.Insert) + 12
		}
		if len(h.patches) == maxHistoryPatches {
			h.patches = append(h.patches[:0], h.patches[1:]...)
		}
		h.patches = append(h.patches, s)
	}
	h.current = b
}

// Since returns the patches from the body with the digest to the current one,
// and false if they are not known or not smaller than the body.
func (h *History) Since(have []byte) ([][]manifest.PatchOp, bool) {
	size := 0
	for i := len(h.patches) - 1; i >= 0; i-- {
		if size += h.patches[i].bytes; size >= len(h.current.Text) {
			return nil, false
		}
		if bytes.Equal(h.patches[i].from[:], have) {
			var out [][]manifest.PatchOp
			for _, s := range h.patches[i:] {
				out = append(out, s.ops)
			}
			return out, true
		}
	}
	return nil, false
}

// Rebuild returns the whole body if there is one and otherwise applies patches to text. It
// verifies the digest of the result.
func Rebuild(text []byte, patches [][]manifest.PatchOp, whole, want []byte) ([]byte, error) {
	out := whole
	if len(whole) == 0 {
		out = text
		for _, ops := range patches {
			var err error
			if out, err = manifest.ApplyPatch(out, ops); err != nil {
				return nil, err
			}
		}
	}
	if got := sum(out); !bytes.Equal(got[:], want) {
		return nil, result.New(result.ManifestInvalid, "the body does not match its digest")
	}
	return out, nil
}
