package operator

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// Reference returns the reference of all commands and options as Markdown.
func Reference() (string, error) {
	var cmds commands
	parser, err := kong.New(&cmds, kong.Name("cyclamenhitch"), kong.Writers(io.Discard, io.Discard))
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("Options of all commands:\n\n")
	writeFlags(&b, parser.Model.Flags)
	for _, n := range parser.Model.Leaves(true) {
		fmt.Fprintf(&b, "#### `cyclamenhitch %s`\n\n%s\n\n", usageLine(n), n.Help)
		for _, p := range n.Positional {
			fmt.Fprintf(&b, "- `%s`: %s\n", strings.ToUpper(p.Name), p.Help)
		}
		if len(n.Positional) > 0 {
			b.WriteString("\n")
		}
		writeFlags(&b, n.Flags)
	}
	return strings.TrimSuffix(b.String(), "\n"), nil
}

// usageLine returns the command path and the positional arguments of a command.
func usageLine(n *kong.Node) string {
	s := ""
	for p := n; p != nil && p.Type == kong.CommandNode; p = p.Parent {
		s = p.Name + " " + s
	}
	for _, p := range n.Positional {
		s += strings.ToUpper(p.Name) + " "
	}
	return strings.TrimSpace(s)
}

// writeFlags writes a table of the options; it writes nothing if there are none.
func writeFlags(b *strings.Builder, flags []*kong.Flag) {
	n := 0
	for _, f := range flags {
		if f.Name == "help" {
			continue
		}
		if n++; n == 1 {
			b.WriteString("| option | meaning | default |\n| --- | --- | --- |\n")
		}
		def := f.Default
		switch {
		case f.Required:
			def = "required"
		case def == "" && f.IsBool():
			def = "off"
		case def == "":
			def = "none"
		}
		help := f.Help
		for _, e := range f.Envs {
			help += " Environment: `" + e + "`."
		}
		fmt.Fprintf(b, "| `--%s` | %s | %s |\n", f.Name, help, def)
	}
	if n > 0 {
		b.WriteString("\n")
	}
}
