package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a status that omits an instance without a confirmed configuration or
// one that does not respond, and against exit codes that report such a status as
// complete.
func TestStatusByMetrics(t *testing.T) {
	serve := func(body string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != metricsPath {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	good := serve(`{"cyclamenhitch":{"instance":"r1","data_centre":"a","config_version":7,"config_age_ms":840,"serving":true,"relaying":true,
		"running":3,"peers_live":70,"store_readers":["r1"],"servers":{"engines":{"Servers":90,"Out":2,"Cold":0,"Suspect":1,"Leaving":1,"Paused":3,"Running":40}},"prompt_parts":{"Suspect":4,"Blocked":2}}}`)
	stale := serve(`{"cyclamenhitch":{"instance":"r2","data_centre":"b","config_version":0,"config_age_ms":null,"serving":false}}`)
	otherProcess := serve(`{"memstats":{}}`)
	notJSON := serve(`<html>`)
	for _, c := range []struct {
		addresses []string
		code      int
		want      []string
	}{
		{[]string{good}, ExitOK, []string{"r1", "840ms ago", "engines 90, 2 out, 1 suspect, 1 leaving, 3 paused"}},
		{[]string{good, stale}, ExitOK, []string{"r2", "never"}},
		{[]string{good, otherProcess, notJSON}, ExitIncomplete, []string{"serves no metrics of cyclamenhitchd", "cannot be read"}},
		{[]string{"127.0.0.1:1"}, ExitFailed, []string{"127.0.0.1:1"}},
	} {
		var out, errOut bytes.Buffer
		if code := Main([]string{"status", "--metrics", strings.Join(c.addresses, ",")}, &out, &errOut); code != c.code {
			t.Errorf("%v: exit code %d, want %d: %s", c.addresses, code, c.code, &errOut)
		}
		for _, w := range c.want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("%v: output lacks %q:\n%s", c.addresses, w, &out)
			}
		}
	}
	var out, errOut bytes.Buffer
	if code := Main([]string{"status", "--json", "--metrics", good + "," + stale}, &out, &errOut); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, &errOut)
	}
	var a metricsStatusResult
	if err := json.Unmarshal(out.Bytes(), &a); err != nil || a.Reached != 2 || a.Versions[7] != 1 || a.Instances[0].Servers["engines"].Suspect != 1 || a.Instances[0].PromptParts.Blocked != 2 {
		t.Errorf("%+v, %v", a, err)
	}
}
