package operator

import (
	"bytes"
	"fmt"
	"net/url"
	"os"
	"time"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/manifest/edit"
	"cyclamenhitch/core/result"
)

type checkCmd struct {
	File string `arg:"" help:"Manifest file."`
}

// checkAnswer is the JSON answer of manifest check.
type checkAnswer struct {
	Valid       bool `json:"valid"`
	DataCentres int  `json:"data_centres"`
	Pools       int  `json:"pools"`
	Servers     int  `json:"servers"`
	Accounts    int  `json:"accounts"`
	Routes      int  `json:"routes"`
}

// Run implements the command.
func (c *checkCmd) Run(e *env) error {
	_, m, err := readManifest(c.File)
	if err != nil {
		return err
	}
	a := checkAnswer{true, len(m.DataCentres), len(m.Pools), len(m.Servers), len(m.Accounts), len(m.Routes)}
	return e.print(a, func() {
		fmt.Fprintf(e.out, "%s is valid: %d data centres, %d pools, %d servers, %d accounts, %d routes\n",
			c.File, a.DataCentres, a.Pools, a.Servers, a.Accounts, a.Routes)
	})
}

func readManifest(path string) ([]byte, *manifest.Manifest, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, result.Wrap(result.ManifestInvalid, err, "manifest file cannot be read")
	}
	m, err := manifest.Decode(src)
	if err != nil {
		return nil, nil, inFile(path, err)
	}
	return src, m, nil
}

type applyCmd struct {
	File   string        `arg:"" help:"Manifest file."`
	Base   uint64        `required:"" help:"Version that the manifest was made from, as status shows it; 0 for the first."`
	DryRun bool          `help:"Check and show the difference, but change nothing."`
	Wait   time.Duration `help:"Wait this long until all reached instances have the version in force; 0 does not wait." default:"30s"`
}

// applyAnswer is the JSON answer of apply, datacentre and server.
type applyAnswer struct {
	Accepted bool          `json:"accepted"`
	DryRun   bool          `json:"dry_run"`
	Base     uint64        `json:"base"`
	Version  uint64        `json:"version"`
	Changes  []edit.Change `json:"changes"`
	InForce  *inForce      `json:"in_force"`
}

// Run implements the command.
func (c *applyCmd) Run(e *env) error {
	src, proposed, err := readManifest(c.File)
	if err != nil {
		return err
	}
	current, err := e.current()
	if err != nil {
		return err
	}
	changes, err := difference(current.body, proposed)
	if err != nil {
		return err
	}
	if !e.JSON {
		e.printChanges(current.number, changes)
	}
	if current.number != c.Base {
		e.detail = map[string]any{"base": c.Base, "version": current.number, "changes": changes}
		return result.New(result.ConfigConflict, "base version %d is out of date, version %d is in force; nothing was changed", c.Base, current.number)
	}
	a := applyAnswer{DryRun: c.DryRun, Base: c.Base, Version: current.number, Changes: changes}
	if c.DryRun {
		return e.print(a, func() { fmt.Fprintln(e.out, "dry run: nothing was changed") })
	}
	return e.applyAndWait(a, src, "apply", c.Wait)
}

func difference(current []byte, proposed *manifest.Manifest) ([]edit.Change, error) {
	var old *manifest.Manifest
	if current != nil {
		var err error
		if old, err = manifest.Decode(current); err != nil {
			return nil, result.Wrap(result.Internal, err, "the version in force cannot be read")
		}
	}
	return append([]edit.Change{}, edit.Compare(old, proposed)...), nil
}

// maxChanges is how many changes are printed as text; --json has all.
const maxChanges = 50

func (e *env) printChanges(version uint64, changes []edit.Change) {
	entries := "entries"
	if len(changes) == 1 {
		entries = "entry"
	}
	fmt.Fprintf(e.out, "difference to version %d: %d %s\n", version, len(changes), entries)
	for i, c := range changes {
		if i == maxChanges {
			fmt.Fprintf(e.out, "  and %d more; --json lists all\n", len(changes)-i)
			break
		}
		fmt.Fprintln(e.out, " ", c)
	}
}

// applyAndWait applies src, waits if asked to, and prints the answer.
// reason goes into the audit log.
func (e *env) applyAndWait(a applyAnswer, src []byte, reason string, wait time.Duration) error {
	v, err := e.apply(a.Base, src, reason)
	if err != nil {
		return err
	}
	a.Accepted, a.Version = true, v.number
	return e.finish(a, v, wait)
}

// finish waits until the version is in force and prints the answer.
func (e *env) finish(a applyAnswer, v version, wait time.Duration) error {
	if a.Accepted && !e.JSON {
		fmt.Fprintf(e.out, "version %d accepted\n", a.Version)
	}
	var late error
	if wait > 0 {
		f, err := e.awaitInForce(v, wait)
		if err != nil {
			return err
		}
		a.InForce, late = f, f.problem(a.Version)
	}
	err := e.print(a, func() {
		if f := a.InForce; f != nil && f.Waiting == 0 {
			fmt.Fprintf(e.out, "version %d in force on %d of %d given instances after %.1f s\n",
				a.Version, f.InForce, f.Given, f.Seconds)
		}
	})
	if err != nil {
		return err
	}
	return late
}

// version is an accepted version.
type version struct {
	number uint64
	body   []byte
	// proof shows to an instance that the version was accepted.
	proof string
}

// current returns the newest accepted version; number 0 before the first.
func (e *env) current() (version, error) {
	r, err := e.first("GET", "/admin/manifest", nil)
	if err != nil {
		if result.As(err).Code == result.ConfigMissing {
			return version{}, nil
		}
		return version{}, err
	}
	return version{r.version, r.body, r.proof}, nil
}

// applyAttempts bounds how often an apply without an answer is repeated.
const applyAttempts = 3

// apply makes src version base+1. An attempt whose outcome is not known is
// settled by reading the version in force. Repeating it is safe, because the
// base version is a condition and at most one attempt takes effect.
func (e *env) apply(base uint64, src []byte, reason string) (version, error) {
	var unsettled *result.Error
	for range applyAttempts {
		var head struct {
			Version uint64 `json:"version"`
			Proof   string `json:"proof"`
		}
		err := e.call("POST", fmt.Sprintf("/admin/apply?base=%d&reason=%s", base, url.QueryEscape(reason)), src, &head)
		if err == nil {
			return version{head.Version, src, head.Proof}, nil
		}
		r := result.As(err)
		if r.Outcome == result.NotRun && unsettled == nil {
			return version{}, err
		}
		if r.Outcome == result.Unknown {
			unsettled = r
		}
		now, rerr := e.current()
		switch {
		case rerr != nil:
			continue
		case now.number == base+1 && bytes.Equal(now.body, src):
			return now, nil
		case now.number == base+1:
			return version{}, result.New(result.ConfigConflict, "base version %d is out of date, version %d is in force; nothing was changed", base, now.number)
		case now.number > base+1:
			return version{}, result.New(result.ConfigConflict, "version %d is in force; whether version %d was this one is not known", now.number, base+1).WithOutcome(result.Unknown)
		}
	}
	return version{}, result.Wrap(unsettled.Code, unsettled.Cause, "%s; it is not known whether version %d was accepted", unsettled.Message, base+1).WithOutcome(result.Unknown)
}
