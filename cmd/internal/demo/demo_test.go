package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"cyclamenhitch/cmd/internal/operator"
)

// Guards against a fleet that, over a data centre taken out and back and a
// planned stop of all instances, cuts or mixes up an answer, runs an order twice
// or sends new work to a data centre that is out. No bound is a time.
func TestDemo(t *testing.T) {
	r, err := Run(context.Background(), Options{
		Duration: 4 * time.Second, Out: io.Discard, Log: io.Discard,
		Operate: func(args []string, out, errOut io.Writer) int { return operator.Main(args, out, errOut) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if !r.OK() || r.Answered == 0 {
		t.Errorf("report %+v", r)
	}
}
