package configpb

import (
	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/manifest"
)

// BuildFetchResponse builds the answer to a fetch: patches when the history leads from the
// caller's body to the current one, otherwise the whole body.
func BuildFetchResponse(h *configstate.History, req *FetchRequest) *FetchResponse {
	b := h.Current()
	resp := &FetchResponse{Version: b.Version, Sha256: b.Sum[:], Operator: b.Operator}
	patches, ok := h.Since(req.Sha256)
	if !ok {
		resp.Body = b.Text
		return resp
	}
	for _, ops := range patches {
		p := &Patch{}
		for _, op := range ops {
			p.Ops = append(p.Ops, &Op{Start: op.Start, Count: op.Count, Insert: op.Insert})
		}
		resp.Patches = append(resp.Patches, p)
	}
	return resp
}

// PatchOps returns the patches of an answer.
func PatchOps(resp *FetchResponse) [][]manifest.PatchOp {
	out := make([][]manifest.PatchOp, len(resp.Patches))
	for i, p := range resp.Patches {
		for _, op := range p.Ops {
			out[i] = append(out[i], manifest.PatchOp{Start: op.Start, Count: op.Count, Insert: op.Insert})
		}
	}
	return out
}
