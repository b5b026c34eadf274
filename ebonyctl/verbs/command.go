package verbs

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

// inForceTime is how long a change may take to be in force everywhere.
const inForceTime = 4 * time.Second

// verb is one row of the command tree.
type verb struct {
	name, args, usage, example string

	nargs int // least number of arguments
	run   func(context.Context, *cli.Command) error
	flags []cli.Flag
}

// Command returns the command tree.
func (a *App) Command() *cli.Command {
	wait := []cli.Flag{
		&cli.BoolFlag{Name: "no-wait", Usage: "do not wait until the change is in force"},
		&cli.DurationFlag{Name: "timeout", Value: inForceTime, Usage: "longest wait until the change is in force"},
	}
	rev := append([]cli.Flag{&cli.Uint64Flag{Name: "rev", Usage: "revision of the object that the edit replaces; 0 if it must not exist (default: the revision just read)"}}, wait...)
	prune := append([]cli.Flag{&cli.BoolFlag{Name: "prune", Usage: "also delete nodes, domains and servers that the file lacks"},
		&cli.BoolFlag{Name: "prune-keys", Usage: "also delete keys that the file lacks; tokens sealed with them no longer open"}}, wait...)
	forward := append([]cli.Flag{
		&cli.BoolFlag{Name: "write", Usage: "write the instances' side of everything that differs, except for what --keep names"},
		&cli.StringSliceFlag{Name: "keep", Usage: "KIND/NAME of an object whose side in the store is kept and put in force, such as an edit made after the restore; may be repeated"},
	}, wait...)
	root := &cli.Command{
		Name:                  "ebonyctl",
		Usage:                 "read and change the settings of ebonypaddle",
		EnableShellCompletion: true,
		Before:                a.before,
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
			a.group("tree", "read the settings tree", verb{name: "show", usage: "list nodes, domains and servers", example: "ebonyctl tree show", run: a.treeShow}),
			a.group("value", "read resolved values", verb{name: "get", args: "PATH [FIELD]", nargs: 1, usage: "show values with the node that each comes from", example: "ebonyctl value get /koysipaja/order/fi-south-a attemptTime", run: a.valueGet}),
			a.group("node", "change nodes of the tree",
				verb{name: "set", args: "PATH FIELD=VALUE...", nargs: 2, flags: rev, usage: "set values of a node; an empty value is inherited again", example: "ebonyctl node set /koysipaja/order slots=3 attemptTime=500ms", run: a.nodeSet},
				verb{name: "delete", args: "PATH", nargs: 1, flags: rev, usage: "delete a node", example: "ebonyctl node delete /koysipaja/order/fi-south-a --rev 17", run: a.nodeDelete}),
			a.leaf(verb{name: "validate", args: "FILE", nargs: 1, usage: "check a settings file", example: "ebonyctl validate samples/utility.json", run: a.validate}),
			a.leaf(verb{name: "diff", args: "FILE", nargs: 1, usage: "show what applying a settings file would change", example: "ebonyctl diff samples/utility.json", run: a.diff}),
			a.leaf(verb{name: "apply", args: "FILE", nargs: 1, flags: prune, usage: "write a settings file, object by object", example: "ebonyctl apply samples/utility.json", run: a.apply}),
			a.group("domain", "mark failure domains",
				verb{name: "out", args: "NAME", nargs: 1, flags: rev, usage: "take a failure domain out", example: "ebonyctl domain out fi-south-a", run: a.domainMark("out")},
				verb{name: "in", args: "NAME", nargs: 1, flags: rev, usage: "bring a failure domain back", example: "ebonyctl domain in fi-south-a", run: a.domainMark("in")}),
			a.group("server", "mark backend servers",
				verb{name: "leave", args: "NAME", nargs: 1, flags: rev, usage: "give a server no new work", example: "ebonyctl server leave order-03", run: a.serverMark("leaving")},
				verb{name: "return", args: "NAME", nargs: 1, flags: rev, usage: "give a server work again", example: "ebonyctl server return order-03", run: a.serverMark("in")},
				verb{name: "remove", args: "NAME", nargs: 1, flags: rev, usage: "remove a server and start the quarantine of its address", example: "ebonyctl server remove order-03", run: a.serverMark("removed")},
				verb{name: "move", args: "NAME SERVICE DOMAIN", nargs: 3, flags: rev, usage: "put a removed server into another service, under the next generation", example: "ebonyctl server move ledger-03 /utility/ledger yeka", run: a.serverMove}),
			a.group("store", "repair the platform's object API",
				verb{name: "forward", flags: forward, usage: "bring a store that lost changes back to the settings and beyond the revision that the instances hold; without --write, only show what differs", example: "ebonyctl store forward --write --keep node//utility", run: a.storeForward}),
			a.leaf(verb{name: "watch", args: "REV", nargs: 1, flags: wait[1:], usage: "wait until a revision is in force on every instance", example: "ebonyctl watch 42 --timeout 10s", run: a.watch}),
			a.leaf(verb{name: "counters", args: "[PREFIX]", usage: "print the counters of instances that are not zero, or those whose name starts with PREFIX; all of them as JSON", example: "ebonyctl counters control.", run: a.counters}),
			a.leaf(verb{name: "status", usage: "show instances with their freshness and clock skew, servers, flows, refusals, drops, retries and closes", example: "ebonyctl status --output json", run: a.status}),
		},
	}
	markUsage(root)
	return root
}

func (a *App) group(name, usage string, verbs ...verb) *cli.Command {
	g := &cli.Command{Name: name, Usage: usage, Action: func(_ context.Context, cmd *cli.Command) error {
		return usagef("%s needs one of its subcommands; see --help", cmd.FullName())
	}}
	for _, v := range verbs {
		g.Commands = append(g.Commands, a.leaf(v))
	}
	return g
}

func (a *App) leaf(v verb) *cli.Command {
	return &cli.Command{
		Name: v.name, Usage: v.usage, ArgsUsage: v.args, Flags: v.flags,
		Description: "Example:\n   " + v.example,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < v.nargs {
				return usagef("%s needs the arguments %s", cmd.FullName(), v.args)
			}
			return v.run(ctx, cmd)
		},
	}
}

// markUsage makes errors of flags and unknown commands usage errors.
func markUsage(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{err}
	}
	for _, c := range cmd.Commands {
		markUsage(c)
	}
}
