package verbs

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

// defaultInForceTimeout is the time within which a change is in force on every
// instance.
const defaultInForceTimeout = 4 * time.Second

// commandSpec describes a command.
type commandSpec struct {
	name, args, usage, example string

	minArgs int // minimum number of arguments
	run     func(context.Context, *cli.Command) error
	flags   []cli.Flag
}

// Command returns the root of the command tree.
func (a *App) Command() *cli.Command {
	wait := []cli.Flag{
		&cli.BoolFlag{Name: "no-wait", Usage: "do not wait until the change is in force"},
		&cli.DurationFlag{Name: "timeout", Value: defaultInForceTimeout, Usage: "maximum time to wait until the change is in force"},
	}
	rev := append([]cli.Flag{&cli.StringFlag{Name: "rev", Usage: "revision of the object that the edit replaces; 0 if it must not exist (default: the revision just read)"}}, wait...)
	prune := append([]cli.Flag{&cli.BoolFlag{Name: "prune", Usage: "also delete nodes, domains and servers that are not in the file"},
		&cli.BoolFlag{Name: "prune-keys", Usage: "also delete keys that are not in the file; tokens sealed with them become invalid"}}, wait...)
	forward := append([]cli.Flag{
		&cli.BoolFlag{Name: "write", Usage: "write the instances' version of every object that differs, except those named by --keep"},
		&cli.StringSliceFlag{Name: "keep", Usage: "KIND/NAME of an object whose version in the store is kept and put in force, such as an edit made after the restore; may be repeated"},
	}, wait...)
	explain := []cli.Flag{
		&cli.StringFlag{Name: "caller", Usage: "address and port of the caller, whose flow may be known to the instance (default: a new caller)"},
		&cli.IntFlag{Name: "length", Value: unknownLength, Usage: "length of the first data in bytes (default: that of the route's latest request)"},
	}
	root := &cli.Command{
		Name:                  "ebonyctl",
		Usage:                 "read and change the settings of ebonypaddle",
		EnableShellCompletion: true,
		Before:                a.setup,
		Writer:                a.Out,
		ErrWriter:             a.Err,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "api", Sources: cli.EnvVars("EBONYCTL_API"), Usage: "base URL of the object API, such as http://10.20.254.1:8080; may be repeated"},
			&cli.StringSliceFlag{Name: "instance", Sources: cli.EnvVars("EBONYCTL_INSTANCE"), Usage: "admin address of an instance; may be repeated"},
			&cli.StringFlag{Name: "operator-key", Sources: cli.EnvVars("EBONYCTL_OPERATOR_KEY"), Usage: "operator key in base64"},
			&cli.StringFlag{Name: "output", Value: "human", Usage: "human or json"},
		},
		Commands: []*cli.Command{
			a.newGroup("tree", "read the settings tree", commandSpec{name: "show", usage: "list nodes, domains and servers", example: "ebonyctl tree show", run: a.treeShow}),
			a.newGroup("value", "read resolved values", commandSpec{name: "get", args: "PATH [FIELD]", minArgs: 1, usage: "show values with the node that each comes from", example: "ebonyctl value get /koysipaja/order/fi-south-a attemptTime", run: a.valueGet}),
			a.newGroup("node", "change nodes of the tree",
				commandSpec{name: "set", args: "PATH FIELD=VALUE...", minArgs: 2, flags: rev, usage: "set values of a node; with an empty value the field is inherited again", example: "ebonyctl node set /koysipaja/order slots=3 attemptTime=500ms", run: a.nodeSet},
				commandSpec{name: "delete", args: "PATH", minArgs: 1, flags: rev, usage: "delete a node", example: "ebonyctl node delete /koysipaja/order/fi-south-a --rev 17", run: a.nodeDelete}),
			a.newCommand(commandSpec{name: "validate", args: "FILE", minArgs: 1, usage: "check a settings file", example: "ebonyctl validate samples/utility.json", run: a.validate}),
			a.newCommand(commandSpec{name: "diff", args: "FILE", minArgs: 1, usage: "show what applying a settings file would change", example: "ebonyctl diff samples/utility.json", run: a.diff}),
			a.newCommand(commandSpec{name: "apply", args: "FILE", minArgs: 1, flags: prune, usage: "write a settings file to the store, one object at a time", example: "ebonyctl apply samples/utility.json", run: a.apply}),
			a.newGroup("domain", "mark failure domains",
				commandSpec{name: "out", args: "NAME", minArgs: 1, flags: rev, usage: "take a failure domain out of service", example: "ebonyctl domain out fi-south-a", run: a.domainMark("out")},
				commandSpec{name: "in", args: "NAME", minArgs: 1, flags: rev, usage: "bring a failure domain back into service", example: "ebonyctl domain in fi-south-a", run: a.domainMark("in")}),
			a.newGroup("server", "mark backend servers",
				commandSpec{name: "leave", args: "NAME", minArgs: 1, flags: rev, usage: "stop sending new work to a server", example: "ebonyctl server leave order-03", run: a.serverMark("leaving")},
				commandSpec{name: "return", args: "NAME", minArgs: 1, flags: rev, usage: "resume sending work to a server", example: "ebonyctl server return order-03", run: a.serverMark("in")},
				commandSpec{name: "remove", args: "NAME", minArgs: 1, flags: rev, usage: "remove a server and start the quarantine of its address", example: "ebonyctl server remove order-03", run: a.serverMark("removed")},
				commandSpec{name: "move", args: "NAME SERVICE DOMAIN", minArgs: 3, flags: rev, usage: "move a removed server to another service and increment its generation", example: "ebonyctl server move ledger-03 /utility/ledger yeka", run: a.serverMove}),
			a.newGroup("store", "repair the platform's object API",
				commandSpec{name: "forward", flags: forward, usage: "write the instances' settings to a store that lost changes, and raise its revision above theirs; without --write, only show what differs", example: "ebonyctl store forward --write --keep node//utility", run: a.storeForward}),
			a.newCommand(commandSpec{name: "watch", args: "REV", minArgs: 1, flags: wait[1:], usage: "wait until a revision is in force on every instance", example: "ebonyctl watch 42 --timeout 10s", run: a.watch}),
			a.newCommand(commandSpec{name: "counters", args: "[PREFIX]", usage: "print the nonzero counters of instances, or all whose names start with PREFIX; --output json prints all counters", example: "ebonyctl counters control.", run: a.counters}),
			a.newCommand(commandSpec{name: "explain", args: "SERVICE-ADDRESS", minArgs: 1, flags: explain, usage: "show where one ebonyplat instance would send a new flow now, and why, without sending it; --instance is its control address. Only instances of ebonyplat answer, those of ebonyd do not", example: "ebonyctl --instance 10.20.0.7:7002 explain 198.18.0.1:443 --length 900", run: a.explain}),
			a.newCommand(commandSpec{name: "status", usage: "show instances with their freshness and clock skew, servers, flows, refusals, drops, retries and closes", example: "ebonyctl status --output json", run: a.status}),
		},
	}
	setUsageErrorHandler(root)
	return root
}

// newGroup returns a command that only has subcommands.
func (a *App) newGroup(name, usage string, specs ...commandSpec) *cli.Command {
	g := &cli.Command{Name: name, Usage: usage, Action: func(_ context.Context, cmd *cli.Command) error {
		return usagef("%s needs one of its subcommands; see --help", cmd.FullName())
	}}
	for _, spec := range specs {
		g.Commands = append(g.Commands, a.newCommand(spec))
	}
	return g
}

// newCommand returns a command that checks the number of its arguments and runs.
func (a *App) newCommand(spec commandSpec) *cli.Command {
	return &cli.Command{
		Name: spec.name, Usage: spec.usage, ArgsUsage: spec.args, Flags: spec.flags,
		Description: "Example:\n   " + spec.example,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < spec.minArgs {
				return usagef("%s needs the arguments %s", cmd.FullName(), spec.args)
			}
			return spec.run(ctx, cmd)
		},
	}
}

// setUsageErrorHandler makes cmd and its subcommands return a usageError for wrong
// flags and unknown commands.
func setUsageErrorHandler(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{err}
	}
	for _, c := range cmd.Commands {
		setUsageErrorHandler(c)
	}
}
