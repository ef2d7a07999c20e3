package daemon

import (
	"fmt"
	"net/url"
	"testing"

	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/result"
	platformfake "cyclamenhitch/standins/platform"
)

// Guards against an accepted version that does not reach an instance which is
// cut off from the store and its peers but not from the operator, and against
// an operator who puts a version in force that was not accepted.
func TestOfferToInstanceThatIsCutOff(t *testing.T) {
	f, apart := newFixture(t), newFixture(t) // apart has a platform of its own, but the same keys
	apart.platform.SetFault(platformfake.Fault{Down: true})
	f.applyManifest()
	code, out := f.runOperator("datacentre", "out", "cordon", "--instance", apart.daemon.AdminAddress())
	if code != 0 || apart.daemon.config.version() != 2 {
		t.Fatalf("exit code %d, version %d: %s", code, apart.daemon.config.version(), out)
	}

	text := f.manifest() + "weight = 3\n"
	proof := f.daemon.proof(configstate.Head{Version: 3, SHA256: sha256Hex(f.manifest())})
	for _, c := range []struct{ version, proof string }{{"3", "00"}, {"3", proof}, {"x", proof}, {"4", proof}} {
		path := fmt.Sprintf("/admin/offer?version=%s&proof=%s", c.version, url.QueryEscape(c.proof))
		if status, body := f.request("POST", apart.daemon.AdminAddress(), path, testOperatorKey, text); status != result.OperatorForbidden.Info().HTTPStatus && status != 400 {
			t.Errorf("version %s: status %d, %s", c.version, status, body)
		}
	}
	if v := apart.daemon.config.version(); v != 2 {
		t.Errorf("version %d in force without acceptance", v)
	}
}
