package daemon

import (
	"fmt"
	"net/url"
	"testing"

	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/result"
	platformfake "cyclamenhitch/standins/platform"
)

// An operator must be able to bring an accepted version to an instance that reaches
// neither the store nor its peers, but must not be able to put a version in force
// there that was not accepted.
func TestOfferToInstanceThatIsCutOff(t *testing.T) {
	f, isolated := newFixture(t), newFixture(t) // isolated has its own platform, but the same keys
	isolated.platform.SetFault(platformfake.Fault{Down: true})
	f.applyManifest()
	code, out := f.runOperator("datacentre", "out", "cordon", "--instance", isolated.daemon.AdminAddress())
	if code != 0 || isolated.daemon.config.version() != 2 {
		t.Fatalf("exit code %d, version %d: %s", code, isolated.daemon.config.version(), out)
	}

	text := f.manifest() + "weight = 3\n"
	proof := f.daemon.proof(configstate.Head{Version: 3, SHA256: sha256Hex(f.manifest())})
	for _, c := range []struct{ version, proof string }{{"3", "00"}, {"3", proof}, {"x", proof}, {"4", proof}} {
		path := fmt.Sprintf("/admin/offer?version=%s&proof=%s", c.version, url.QueryEscape(c.proof))
		if status, body := f.request("POST", isolated.daemon.AdminAddress(), path, testOperatorKey, text); status != result.OperatorForbidden.Info().HTTPStatus && status != 400 {
			t.Errorf("version %s: status %d, %s", c.version, status, body)
		}
	}
	if v := isolated.daemon.config.version(); v != 2 {
		t.Errorf("version %d in force without acceptance", v)
	}
}
