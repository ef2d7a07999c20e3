package daemon

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/result"
)

// applyResponse is the answer of /admin/apply.
type applyResponse struct {
	configstate.Head
	// Proof shows to other instances that the version was accepted.
	Proof string `json:"proof"`
}

// proof authenticates an accepted version with the shared key. An operator can
// thereby carry it to an instance that cannot reach the table service, but
// cannot put a version in force there that was not accepted.
func (d *Daemon) proof(h configstate.Head) string { return computeProof(d.peerKey.Bytes(), h) }

// verifyProof reports whether the proof was made with a key that is accepted here.
func (d *Daemon) verifyProof(h configstate.Head, proof []byte) bool {
	return slices.ContainsFunc(d.peerKey.Accepted(), func(key []byte) bool {
		return hmac.Equal([]byte(computeProof(key, h)), proof)
	})
}

func computeProof(key []byte, h configstate.Head) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte("accepted configuration\x00" + strconv.FormatUint(h.Version, 10) + "\x00" + h.SHA256))
	return hex.EncodeToString(mac.Sum(nil))
}

// handleOffer puts an accepted version in force that an operator's command
// brings: POST /admin/offer?version=&proof= with the manifest as body.
func (c *adminComponent) handleOffer(ctx *fasthttp.RequestCtx, operator string) {
	args := ctx.QueryArgs()
	version, err := strconv.ParseUint(string(args.Peek("version")), 10, 64)
	if err != nil {
		writeAdminError(ctx, result.New(result.BadRequest, "parameter version must be a version number"))
		return
	}
	text := append([]byte(nil), ctx.PostBody()...)
	sum := sha256.Sum256(text)
	head := configstate.Head{Version: version, SHA256: hex.EncodeToString(sum[:]), Operator: operator}
	var refused error
	if !c.d.verifyProof(head, args.Peek("proof")) {
		refused = result.New(result.OperatorForbidden, "the proof does not belong to this version and manifest")
	} else {
		refused = c.d.config.apply(configstate.Body{Version: version, Sum: sum, Operator: operator, Text: text})
	}
	c.audit(ctx, operator, "offer", "", version-1, version, refused)
	if refused != nil {
		writeAdminError(ctx, result.As(refused))
		return
	}
	writeAdminJSON(ctx, c.status())
}
