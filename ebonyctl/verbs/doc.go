package verbs

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// Doc returns the reference of the commands as Markdown, docs/cli.md.
func (a *App) Doc() string {
	var b strings.Builder
	root := a.Command()
	fmt.Fprintf(&b, "# %s\n\n%s.\n\n", root.Name, root.Usage)
	b.WriteString(`Every write is conditional on the revision that it replaces. When two edits
race, the other stays in the store, both are shown, and yours can be repeated
on top. A write whose answer was lost is looked up by its edit identifier and
not repeated. Flags come before or after the arguments.
` + "`ebonyctl completion bash|zsh|fish|pwsh`" + ` prints a completion script.

## Exit codes

| code | meaning |
|---|---|
`)
	for code, meaning := range [...]string{
		ExitOK:       "done",
		ExitFailed:   "failed, for instance because the object API does not answer",
		ExitUsage:    "wrong command line",
		ExitInvalid:  "the settings break a rule; nothing was written",
		ExitConflict: "another edit came first",
		ExitMissing:  "accepted, but not in force on every instance",
		ExitUnknown:  "the answer was lost and the edit may still take effect",
		ExitNotFound: "the object does not exist",
		ExitLost:     "the store lost changes, as after a restored backup; what it accepted is not in force",
	} {
		fmt.Fprintf(&b, "| %d | %s |\n", code, meaning)
	}
	b.WriteString("\n## Flags of every command\n\n")
	writeFlags(&b, root)
	for _, c := range root.Commands {
		writeCommand(&b, root.Name, c)
	}
	return b.String()
}

func writeCommand(b *strings.Builder, parent string, cmd *cli.Command) {
	name := parent + " " + cmd.Name
	if len(cmd.Commands) > 0 {
		for _, c := range cmd.Commands {
			writeCommand(b, name, c)
		}
		return
	}
	fmt.Fprintf(b, "\n## %s\n\n%s.\n\n    %s\n", strings.TrimSpace(name+" "+cmd.ArgsUsage), cmd.Usage,
		strings.TrimPrefix(cmd.Description, "Example:\n   "))
	if len(cmd.Flags) > 0 {
		b.WriteString("\n")
		writeFlags(b, cmd)
	}
}

func writeFlags(b *strings.Builder, cmd *cli.Command) {
	for _, f := range cmd.Flags {
		d, ok := f.(cli.DocGenerationFlag)
		if !ok {
			continue
		}
		fmt.Fprintf(b, "- `--%s`: %s", f.Names()[0], d.GetUsage())
		if v := defaultOf(f); v != "" {
			fmt.Fprintf(b, " (default %s)", v)
		}
		if env := d.GetEnvVars(); len(env) > 0 {
			fmt.Fprintf(b, " [%s]", env[0])
		}
		b.WriteString("\n")
	}
}

func defaultOf(f cli.Flag) string {
	switch f := f.(type) {
	case *cli.StringFlag:
		return f.Value
	case *cli.DurationFlag:
		return f.Value.String()
	}
	return ""
}
