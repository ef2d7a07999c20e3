package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"cyclamenhitch/cmd/internal/operator"
)

// Guards against truncated or mixed-up responses, orders that are executed twice and
// new work in a data centre that is out of service, while a data centre is taken out
// and back and all instances shut down gracefully. No check depends on a time bound.
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
