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

// applyResponse is the response of /admin/apply.
type applyResponse struct {
	configstate.Head
	// Proof proves to other instances that the version was accepted.
	Proof string `json:"proof"`
}

// proof returns an HMAC of an accepted version under the shared peer key.
// It lets an operator offer the version to an instance that cannot reach the table
// service, while a version that was not accepted is refused there.
func (d *Daemon) proof(h configstate.Head) string {
	return computeProof(d.peerKey.Bytes(), h)
}

// verifyProof reports whether proof matches the version under one of the peer keys
// that this instance accepts.
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

// handleOffer serves POST /admin/offer?version=&proof= with the manifest as body.
// It puts a version with a valid proof of acceptance in force, without calling the
// table service.
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
