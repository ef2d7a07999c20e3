package daemon

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/orders"
	"cyclamenhitch/core/result"
	"cyclamenhitch/standins/model"
	"cyclamenhitch/standins/weights"
)

// Guards against engines that do not reach the desired state, weight loads above the
// rate limit of the weight store, and orders from two instances at the same time.
func TestOrdersEndToEnd(t *testing.T) {
	f := newFixture(t)
	store, err := weights.Start("127.0.0.1:0", 60)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	f.engines = nil
	for i := range 2 {
		e, err := model.Start(model.Config{Name: fmt.Sprintf("engine-%d", i), Address: "127.0.0.1:0", ChecksFencing: i == 0, WeightStore: store.URL()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
	}
	f.startInstance("r2")
	text := strings.Replace(f.manifest(), "name = \"taller-modelo\"\n", "name = \"taller-modelo\"\nversions = { taller-modelo = \"3\" }\nadapters = [\"catalogue@7\"]\nrole = \"both\"\n", 1)
	text = strings.Replace(text, "name = \"engine-0\"\n", "name = \"engine-0\"\nchecks_fencing = true\n", 1)
	if code, out := f.runOperator("apply", f.writeFile("orders.toml", text), "--base", "0"); code != 0 {
		t.Fatalf("apply: exit code %d: %s", code, out)
	}
	want := []model.Item{{Model: "taller-modelo", Version: "3"}, {Model: "taller-modelo", Adapter: "catalogue", Version: "7"}}
	reached := func(version string) func() bool {
		want[0].Version = version
		return func() bool {
			for _, e := range f.engines {
				if items, role := e.LoadedItems(); !slices.Equal(items, want) || role != "both" {
					return false
				}
			}
			return true
		}
	}
	f.eventually("desired state", reached("3"))
	text = strings.Replace(text, `taller-modelo = "3"`, `taller-modelo = "4"`, 1)
	if code, out := f.runOperator("apply", f.writeFile("orders2.toml", text), "--base", "1"); code != 0 {
		t.Fatalf("apply: exit code %d: %s (%s)", code, out, filepath.Join(f.dir, "orders2.toml"))
	}
	f.eventually("next version", reached("4"))
	if served, refused := store.Counts(); served != 6 || refused != 0 {
		t.Fatalf("%d loads served and %d refused, want 6 and 0", served, refused)
	}
	for i, e := range f.engines {
		applied, _ := e.AppliedOrders()
		for _, a := range applied {
			if a.Fencing != 1 {
				t.Errorf("engine %d applied an order with fencing number %d, want 1: one holder", i, a.Fencing)
			}
		}
	}
	checkStaleOrder(t, f.engines)
}

// checkStaleOrder sends an order with the fencing number of a former lease holder to
// an engine that checks fencing numbers and to one that does not.
func checkStaleOrder(t *testing.T, engines []*model.Engine) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var client engine.OrderClient
	for i, e := range engines {
		srv := &manifest.Server{Name: "engine", Address: e.Address()}
		err := client.Send(ctx, srv, orders.Order{Fencing: 0}, time.Second)
		var re *result.Error
		if lost := errors.As(err, &re) && re.Code == result.LeaseLost; lost != (i == 0) {
			t.Errorf("engine %d: old order answered %v", i, err)
		}
	}
}
