package configstate

import (
	"bytes"
	"crypto/sha256"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// historyLength is how many patches an instance keeps for peers that are
// behind. At 1,600 changes a day, 64 cover the changes of an hour.
const historyLength = 64

// Body is one version with its text.
type Body struct {
	Version  uint64
	Sum      [sha256.Size]byte
	Operator string
	Text     []byte
}

type step struct {
	from, to [sha256.Size]byte
	ops      []manifest.PatchOp
	bytes    int
}

// History holds the body in force and the patches that led to it. It is not
// safe for concurrent use.
type History struct {
	current Body
	steps   []step
}

// Current returns the body in force; Version is 0 without one.
func (h *History) Current() Body { return h.current }

// Push makes b the current body.
func (h *History) Push(b Body) {
	if h.current.Version > 0 {
		s := step{from: h.current.Sum, to: b.Sum, ops: manifest.Diff(h.current.Text, b.Text)}
		for _, op := range s.ops {
			s.bytes += len(op.Insert) + 12
		}
		if len(h.steps) == historyLength {
			h.steps = append(h.steps[:0], h.steps[1:]...)
		}
		h.steps = append(h.steps, s)
	}
	h.current = b
}

// Since returns the patches from the body with the digest to the current one,
// and false when they are not known or not smaller than the body.
func (h *History) Since(have []byte) ([][]manifest.PatchOp, bool) {
	size := 0
	for i := len(h.steps) - 1; i >= 0; i-- {
		if size += h.steps[i].bytes; size >= len(h.current.Text) {
			return nil, false
		}
		if bytes.Equal(h.steps[i].from[:], have) {
			var out [][]manifest.PatchOp
			for _, s := range h.steps[i:] {
				out = append(out, s.ops)
			}
			return out, true
		}
	}
	return nil, false
}

// Rebuild applies patches to the text, or takes the whole body, and checks the
// digest of the result.
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
