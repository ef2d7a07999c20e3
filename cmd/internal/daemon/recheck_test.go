package daemon

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
)

// outageClaimer takes the data centre of the placed server out of service while the claim
// of the request is recorded.
type outageClaimer struct {
	gateway.Claimer
	f      *fixture
	placed fleet.ServerID
}

func (c *outageClaimer) Claim(_ context.Context, req *gateway.Request) (gateway.Claim, gateway.Response, error) {
	c.placed = req.Server.Name
	dc := fmt.Sprintf("[[data_centre]]\nname = %q\n", req.Server.DataCentre)
	text := strings.Replace(c.f.manifest(), dc, dc+"state = \"out\"\n", 1)
	return c, nil, c.f.daemon.config.apply(configstate.Body{Version: 2, Text: []byte(text)})
}

func (c *outageClaimer) Finish(int, []gateway.Field, []byte, error) {}

// Guards against a late send to a data centre that was taken out after the placement.
func TestPlacedRequestAvoidsDataCentreOut(t *testing.T) {
	f := newFixture(t)
	f.extraDataCentres = []string{"goes"}
	f.engineDataCentres = []string{"cordon", "goes"}
	f.applyManifest()
	gw := *f.daemon.callers.Opener.(*gateway.Gateway)
	claimer := &outageClaimer{f: f}
	gw.Claimer = claimer
	x := f.daemon.config.Index()
	resp, err := gw.Open(context.Background(), &gateway.Request{
		ID: "r", Account: x.Account("workshops"), Pool: x.Pool("taller-modelo"), Method: "POST", Path: "/v1/chat/completions",
		Body: fmt.Appendf(nil, chatRequest, false), Deadline: time.Now().Add(time.Minute), Priority: 5, OutputTokens: 5,
	})
	if err != nil {
		t.Fatal(err)
	}
	resp.Close()
	for i, e := range f.engines {
		want := int64(1)
		if string(claimer.placed) == fmt.Sprintf("engine-%d", i) {
			want = 0
		}
		if n := e.Counts().Started; n != want {
			t.Errorf("engine-%d started %d requests, want %d; the request was placed on %s", i, n, want, claimer.placed)
		}
	}
}
