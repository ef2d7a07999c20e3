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

// checkResult is the JSON output of manifest check.
type checkResult struct {
	Valid       bool `json:"valid"`
	DataCentres int  `json:"data_centres"`
	Pools       int  `json:"pools"`
	Servers     int  `json:"servers"`
	Accounts    int  `json:"accounts"`
	Routes      int  `json:"routes"`
}

func (c *checkCmd) Run(e *env) error {
	_, m, err := readManifest(c.File)
	if err != nil {
		return err
	}
	a := checkResult{true, len(m.DataCentres), len(m.Pools), len(m.Servers), len(m.Accounts), len(m.Routes)}
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
		return nil, nil, addFileName(path, err)
	}
	return src, m, nil
}

type applyCmd struct {
	File   string        `arg:"" help:"Manifest file."`
	Base   uint64        `required:"" help:"Version that the manifest was made from, as status shows it; 0 for the first."`
	DryRun bool          `help:"Check and show the difference, but change nothing."`
	Wait   time.Duration `help:"Wait this long until all reached instances have the version in force; 0 does not wait." default:"30s"`
}

// applyResult is the JSON output of the apply, datacentre and server commands.
type applyResult struct {
	Accepted bool           `json:"accepted"`
	DryRun   bool           `json:"dry_run"`
	Base     uint64         `json:"base"`
	Version  uint64         `json:"version"`
	Changes  []edit.Change  `json:"changes"`
	InForce  *rolloutStatus `json:"in_force"`
}

func (c *applyCmd) Run(e *env) error {
	src, proposed, err := readManifest(c.File)
	if err != nil {
		return err
	}
	current, err := e.current()
	if err != nil {
		return err
	}
	changes, err := compareVersions(current.body, proposed)
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
	a := applyResult{DryRun: c.DryRun, Base: c.Base, Version: current.number, Changes: changes}
	if c.DryRun {
		return e.print(a, func() { fmt.Fprintln(e.out, "dry run: nothing was changed") })
	}
	return e.applyAndWait(a, src, "apply", c.Wait)
}

// compareVersions lists the changes from the current manifest text, nil if there
// is none, to the proposed manifest. The list is not nil, so that JSON has an array.
func compareVersions(current []byte, proposed *manifest.Manifest) ([]edit.Change, error) {
	var old *manifest.Manifest
	if current != nil {
		var err error
		if old, err = manifest.Decode(current); err != nil {
			return nil, result.Wrap(result.Internal, err, "version in force is not a valid manifest")
		}
	}
	return append([]edit.Change{}, edit.Compare(old, proposed)...), nil
}

// maxPrintedChanges limits the changes in the text output; --json lists all.
const maxPrintedChanges = 50

func (e *env) printChanges(version uint64, changes []edit.Change) {
	entries := "entries"
	if len(changes) == 1 {
		entries = "entry"
	}
	fmt.Fprintf(e.out, "difference to version %d: %d %s\n", version, len(changes), entries)
	for i, c := range changes {
		if i == maxPrintedChanges {
			fmt.Fprintf(e.out, "  and %d more; --json lists all\n", len(changes)-i)
			break
		}
		fmt.Fprintln(e.out, " ", c)
	}
}

// applyAndWait applies src, waits up to wait until it is in force, and prints the
// result. reason is recorded in the audit log.
func (e *env) applyAndWait(a applyResult, src []byte, reason string, wait time.Duration) error {
	v, err := e.apply(a.Base, src, reason)
	if err != nil {
		return err
	}
	a.Accepted, a.Version = true, v.number
	return e.waitAndPrint(a, v, wait)
}

// waitAndPrint waits up to wait until the version is in force and prints the result.
func (e *env) waitAndPrint(a applyResult, v version, wait time.Duration) error {
	if a.Accepted && !e.JSON {
		fmt.Fprintf(e.out, "version %d accepted\n", a.Version)
	}
	var incomplete error
	if wait > 0 {
		f, err := e.waitInForce(v, wait)
		if err != nil {
			return err
		}
		a.InForce, incomplete = f, f.rolloutError(a.Version)
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
	return incomplete
}

// version is an accepted version of the configuration.
type version struct {
	number uint64
	body   []byte
	// proof authenticates the accepted version to other instances.
	proof string
}

// current returns the newest accepted version, with number 0 if there is none.
func (e *env) current() (version, error) {
	r, err := e.callFirst("GET", "/admin/manifest", nil)
	if err != nil {
		if result.As(err).Code == result.ConfigMissing {
			return version{}, nil
		}
		return version{}, err
	}
	return version{r.version, r.body, r.proof}, nil
}

// maxApplyAttempts is the number of attempts of an apply whose outcome is unknown.
const maxApplyAttempts = 3

// apply makes src version base+1. After an attempt with an unknown outcome it reads
// the version in force to learn whether the attempt succeeded. Retrying is safe,
// because the base version is a precondition and at most one attempt takes effect.
func (e *env) apply(base uint64, src []byte, reason string) (version, error) {
	var unknownErr *result.Error
	for range maxApplyAttempts {
		var accepted struct {
			Version uint64 `json:"version"`
			Proof   string `json:"proof"`
		}
		err := e.callJSON("POST", fmt.Sprintf("/admin/apply?base=%d&reason=%s", base, url.QueryEscape(reason)), src, &accepted)
		if err == nil {
			return version{accepted.Version, src, accepted.Proof}, nil
		}
		r := result.As(err)
		if r.Outcome == result.NotRun && unknownErr == nil {
			return version{}, err
		}
		if r.Outcome == result.Unknown {
			unknownErr = r
		}
		newest, readErr := e.current()
		switch {
		case readErr != nil:
			continue
		case newest.number == base+1 && bytes.Equal(newest.body, src):
			return newest, nil
		case newest.number == base+1:
			return version{}, result.New(result.ConfigConflict, "base version %d is out of date, version %d is in force; nothing was changed", base, newest.number)
		case newest.number > base+1:
			return version{}, result.New(result.ConfigConflict, "version %d is in force; whether version %d was this one is not known", newest.number, base+1).WithOutcome(result.Unknown)
		}
	}
	return version{}, result.Wrap(unknownErr.Code, unknownErr.Cause, "%s; it is not known whether version %d was accepted", unknownErr.Message, base+1).WithOutcome(result.Unknown)
}
