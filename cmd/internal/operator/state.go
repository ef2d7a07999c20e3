package operator

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/manifest/edit"
	"cyclamenhitch/core/result"
)

// maxStateAttempts is the number of attempts to set a state when changes of other
// operators conflict.
const maxStateAttempts = 5

type stateOptions struct {
	Wait   time.Duration `help:"Wait this long until all reached instances have the version in force; 0 does not wait." default:"30s"`
	DryRun bool          `help:"Show the difference, but change nothing."`
}

type dcStateArgs struct {
	Name string `arg:"" help:"Name of the data centre in the manifest."`
	stateOptions
}

type serverStateArgs struct {
	Name string `arg:"" help:"Name of the server in the manifest."`
	stateOptions
}

type (
	dcOutCmd        dcStateArgs
	dcInCmd         dcStateArgs
	serverLeaveCmd  serverStateArgs
	serverReturnCmd serverStateArgs
)

func (c *dcOutCmd) Run(e *env) error {
	return e.setState("data_centre", c.Name, manifest.StateOut, c.stateOptions)
}

func (c *dcInCmd) Run(e *env) error {
	return e.setState("data_centre", c.Name, manifest.StateIn, c.stateOptions)
}

func (c *serverLeaveCmd) Run(e *env) error {
	return e.setState("server", c.Name, manifest.StateLeaving, c.stateOptions)
}

func (c *serverReturnCmd) Run(e *env) error {
	return e.setState("server", c.Name, manifest.StateIn, c.stateOptions)
}

// setState sets the state of one entry in the manifest in force and applies the
// result. After a conflict it retries from the newer version.
func (e *env) setState(table, name, state string, o stateOptions) error {
	for attempt := 1; ; attempt++ {
		current, err := e.current()
		if err != nil {
			return err
		}
		base, src := current.number, current.body
		if src == nil {
			return result.New(result.ConfigMissing, "there is no version to change")
		}
		out, err := edit.SetState(src, table, name, state)
		if err != nil {
			return err
		}
		a := applyResult{DryRun: o.DryRun, Base: base, Version: base}
		proposed, err := manifest.Decode(out)
		if err != nil {
			return err
		}
		if a.Changes, err = compareVersions(src, proposed); err != nil {
			return err
		}
		if bytes.Equal(src, out) {
			if !e.JSON {
				fmt.Fprintf(e.out, "%s %q is already %q in version %d\n", table, name, state, base)
			}
			return e.waitAndPrint(a, current, o.Wait)
		}
		if !e.JSON {
			e.printChanges(base, a.Changes)
		}
		if o.DryRun {
			return e.print(a, func() { fmt.Fprintln(e.out, "dry run: nothing was changed") })
		}
		err = e.applyAndWait(a, out, table+" "+name+" "+state, o.Wait)
		if err == nil || attempt == maxStateAttempts || !isConflict(err) {
			return err
		}
		if !e.JSON {
			fmt.Fprintln(e.out, "a concurrent change took precedence; retrying from the newer version")
		}
		// A random delay keeps concurrent operators from conflicting again.
		time.Sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
	}
}

// isConflict reports whether err is a version conflict. Setting a state is idempotent,
// so a conflict with an unknown outcome may be retried as well.
func isConflict(err error) bool {
	var r *result.Error
	return errors.As(err, &r) && r.Code == result.ConfigConflict
}
