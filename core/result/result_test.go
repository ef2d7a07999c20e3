package result

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against two codes with the same name, and against codes without an HTTP
// status, an outcome, a meaning or advice.
func TestTableIsComplete(t *testing.T) {
	names := map[string]Code{}
	for _, c := range Codes() {
		i := c.Info()
		if other, dup := names[i.Name]; dup {
			t.Errorf("codes %d and %d share the name %s", c, other, i.Name)
		}
		names[i.Name] = c
		if i.HTTPStatus < 400 || i.HTTPStatus > 599 || i.Meaning == "" || i.Advice == "" {
			t.Errorf("code %d has an incomplete entry: %+v", c, i)
		}
		if i.Outcome != NotRun && i.Outcome != Unknown && i.Outcome != Ran {
			t.Errorf("code %d has outcome %q", c, i.Outcome)
		}
	}
}

// Guards against the loss of the code or the outcome when an error is wrapped.
func TestAsFindsCodeInChain(t *testing.T) {
	inner := New(PoolAtBound, "pool p")
	if got := As(fmt.Errorf("outer: %w", inner)); got != inner {
		t.Errorf("As = %v, want the inner error", got)
	}
	cause := errors.New("disk")
	if got := As(cause); got.Code != Internal || got.Outcome != Unknown || !errors.Is(got, cause) {
		t.Errorf("As of an error without a code = %+v, want internal, unknown, with its cause", got)
	}
}
