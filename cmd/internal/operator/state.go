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

// stateAttempts bounds the retries after a conflict with another operator.
const stateAttempts = 5

type stateOptions struct {
	Wait   time.Duration `help:"Wait this long until all reached instances have the version in force; 0 does not wait." default:"30s"`
	DryRun bool          `help:"Show the difference, but change nothing."`
}

type dcName struct {
	Name string `arg:"" help:"Name of the data centre in the manifest."`
	stateOptions
}

type serverName struct {
	Name string `arg:"" help:"Name of the server in the manifest."`
	stateOptions
}

type (
	dcOutCmd        dcName
	dcInCmd         dcName
	serverLeaveCmd  serverName
	serverReturnCmd serverName
)

// Run implements the command.
func (c *dcOutCmd) Run(e *env) error {
	return e.setState("data_centre", c.Name, manifest.StateOut, c.stateOptions)
}

// Run implements the command.
func (c *dcInCmd) Run(e *env) error {
	return e.setState("data_centre", c.Name, manifest.StateIn, c.stateOptions)
}

// Run implements the command.
func (c *serverLeaveCmd) Run(e *env) error {
	return e.setState("server", c.Name, manifest.StateLeaving, c.stateOptions)
}

// Run implements the command.
func (c *serverReturnCmd) Run(e *env) error {
	return e.setState("server", c.Name, manifest.StateIn, c.stateOptions)
}

// setState changes one state in the text of the version in force and applies
// it. After a conflict it starts again from the newer version.
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
		a := applyAnswer{DryRun: o.DryRun, Base: base, Version: base}
		proposed, err := manifest.Decode(out)
		if err != nil {
			return err
		}
		if a.Changes, err = difference(src, proposed); err != nil {
			return err
		}
		if bytes.Equal(src, out) {
			if !e.JSON {
				fmt.Fprintf(e.out, "%s %q is already %q in version %d\n", table, name, state, base)
			}
			return e.finish(a, current, o.Wait)
		}
		if !e.JSON {
			e.printChanges(base, a.Changes)
		}
		if o.DryRun {
			return e.print(a, func() { fmt.Fprintln(e.out, "dry run: nothing was changed") })
		}
		err = e.applyAndWait(a, out, table+" "+name+" "+state, o.Wait)
		if err == nil || attempt == stateAttempts || !retryable(err) {
			return err
		}
		if !e.JSON {
			fmt.Fprintln(e.out, "another operator was faster; trying again from the newer version")
		}
		// A random pause keeps racing operators from meeting again.
		time.Sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
	}
}

// retryable reports a conflict. Setting a state twice has the effect of once, so
// that a conflict with an unknown outcome may be retried as well.
func retryable(err error) bool {
	var r *result.Error
	return errors.As(err, &r) && r.Code == result.ConfigConflict
}
