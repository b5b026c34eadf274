package verbs

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// Doc returns the command reference, docs/cli.md, as Markdown.
func (a *App) Doc() string {
	var b strings.Builder
	root := a.Command()
	fmt.Fprintf(&b, "# %s\n\n%s.\n\n", root.Name, root.Usage)
	b.WriteString(`Every write is conditional on the revision that it replaces. If another
edit was written first, it stays in the store, both edits are shown, and yours
can be repeated on top of it. A write whose response was lost is looked up by
its edit identifier and not repeated. Flags come before or after the arguments.
` + "`ebonyctl completion bash|zsh|fish|pwsh`" + ` prints a completion script.

## Exit codes

| code | meaning |
|---|---|
`)
	for code, meaning := range [...]string{
		ExitOK:             "done",
		ExitFailed:         "failed, for example because the object API does not respond",
		ExitUsage:          "wrong command line",
		ExitInvalid:        "the settings are invalid; nothing was written",
		ExitConflict:       "another edit changed the object first",
		ExitNotInForce:     "accepted, but not in force on every instance",
		ExitUnknownOutcome: "the response was lost and the edit may still take effect",
		ExitNotFound:       "the object does not exist",
		ExitStoreBehind:    "the store lost changes, for example because a backup was restored; accepted edits are not in force",
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
		if v := flagDefault(f); v != "" {
			fmt.Fprintf(b, " (default %s)", v)
		}
		if env := d.GetEnvVars(); len(env) > 0 {
			fmt.Fprintf(b, " [%s]", env[0])
		}
		b.WriteString("\n")
	}
}

// flagDefault returns the default value of a flag, or "" if it has none.
func flagDefault(f cli.Flag) string {
	switch f := f.(type) {
	case *cli.StringFlag:
		return f.Value
	case *cli.DurationFlag:
		return f.Value.String()
	}
	return ""
}
