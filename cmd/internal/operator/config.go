package operator

import (
	"context"
	"fmt"
	"os"
	"strings"

	"cyclamenhitch/core/configcheck"
	"cyclamenhitch/core/jsonpos"
	"cyclamenhitch/core/result"
	"cyclamenhitch/platform"
)

type configCheckCmd struct {
	File       string `arg:"" help:"Configuration file, the JSON of op/config."`
	Against    string `help:"File with the version in force, to show the difference." placeholder:"FILE" xor:"against"`
	Store      string `help:"Store (host:port) to read the version in force from." placeholder:"HOST:PORT" xor:"against"`
	RetryBurst int    `help:"Retries that the fleet may send at once, limits.retry_burst of the settings." default:"30"`
}

// configCheckResult is the JSON output of config check.
type configCheckResult struct {
	Version  uint64               `json:"version"`
	Findings []configFinding      `json:"findings"`
	Against  uint64               `json:"against,omitempty"`
	Changes  []configcheck.Change `json:"changes"`
}

type configFinding struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Rule   string `json:"rule"`
	Text   string `json:"text"`
}

// Run prints the findings. The exit code is 1 if there are any, and 2 if a file cannot be used.
func (c *configCheckCmd) Run(e *env) error {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return c.unusable(e, c.File, err)
	}
	cfg, doc, err := platform.DecodeForCheck(src)
	if err != nil {
		return c.unusable(e, c.File, err)
	}
	findings := configcheck.Check(cfg, configcheck.Limits{RetryBurst: c.RetryBurst})
	out := configCheckResult{Version: cfg.Version, Findings: []configFinding{}, Changes: []configcheck.Change{}}
	if c.Against != "" || c.Store != "" {
		old, err := c.inForce()
		if err != nil {
			return c.unusable(e, c.Against+c.Store, err)
		}
		changes, more := configcheck.Against(cfg, old)
		findings, out.Against = append(findings, more...), old.Version
		out.Changes = append(out.Changes, changes...)
	}
	for _, f := range findings {
		line, column := position(doc, f.Path)
		out.Findings = append(out.Findings, configFinding{line, column, f.Path, f.Rule, f.Text})
	}
	if err := e.print(out, func() { c.text(e, &out) }); err != nil {
		return err
	}
	if n := len(findings); n > 0 {
		return &incompleteError{fmt.Sprintf("%s has %d findings", c.File, n), ExitFailed}
	}
	return nil
}

func (c *configCheckCmd) text(e *env, r *configCheckResult) {
	for _, f := range r.Findings {
		fmt.Fprintf(e.out, "%s:%d:%d: %s: %s (%s)\n", c.File, f.Line, f.Column, f.Rule, f.Text, f.Path)
	}
	for _, x := range r.Changes {
		fmt.Fprintln(e.out, strings.TrimSpace(fmt.Sprintf("%s %s %s %s", x.What, x.Kind, x.Name, x.Detail)))
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(e.out, "%s: version %d, no findings\n", c.File, r.Version)
	}
}

// position returns the place of an entry, or of the closest one around it that exists.
func position(doc *jsonpos.Document, path string) (line, column int) {
	paths := []string{path}
	for {
		i := strings.LastIndexAny(path, ".[")
		if i <= 0 {
			return doc.Position(paths...)
		}
		path = path[:i]
		paths = append(paths, path)
	}
}

// inForce reads the version to compare with.
func (c *configCheckCmd) inForce() (*configcheck.Config, error) {
	if c.Against != "" {
		src, err := os.ReadFile(c.Against)
		if err != nil {
			return nil, err
		}
		cfg, _, err := platform.DecodeForCheck(src)
		return cfg, err
	}
	rows, _, err := platform.NewStore(c.Store).Snapshot(context.Background(), platform.OperatorTable)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if row.Key == platform.ConfigKey {
			cfg, _, err := platform.DecodeForCheck(row.Value)
			return cfg, err
		}
	}
	return nil, result.New(result.ManifestInvalid, "the store has no configuration")
}

// unusable reports input that cannot be checked.
func (c *configCheckCmd) unusable(e *env, name string, err error) error {
	text := fmt.Sprintf("%s: %s", name, errorText(result.As(err)))
	if e.JSON {
		_ = e.print(map[string]any{"error": map[string]any{"message": text, "exit_code": ExitUsage}}, nil)
	}
	return &incompleteError{text, ExitUsage}
}
