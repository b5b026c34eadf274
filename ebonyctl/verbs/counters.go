package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// counters prints the published counters of each instance.
func (a *App) counters(ctx context.Context, cmd *cli.Command) error {
	all, err := a.instances.Counters(ctx)
	if err != nil {
		return fmt.Errorf("counters of instances: %w", err)
	}
	flat := map[string]map[string]float64{}
	for addr, raw := range all {
		var v any
		if err := json.Unmarshal(raw, &v); err != nil {
			return fmt.Errorf("counters of %s: %w", addr, err)
		}
		flat[addr] = map[string]float64{}
		numbers(flat[addr], "", v)
	}
	return a.emit(all, func(w *strings.Builder) {
		table(w, func(w *strings.Builder) {
			for _, addr := range sorted(flat) {
				for _, name := range sorted(flat[addr]) {
					if a.shown(name, flat[addr][name], cmd.Args().First()) {
						fmt.Fprintf(w, "%s\t%s\t%.0f\n", addr, name, flat[addr][name])
					}
				}
			}
		})
	})
}

// shown leaves out zeros and the runtime's own statistics unless a prefix asks
// for them.
func (*App) shown(name string, n float64, prefix string) bool {
	if prefix != "" {
		return strings.HasPrefix(name, prefix)
	}
	return n != 0 && !strings.HasPrefix(name, "memstats.")
}

// numbers collects the numbers of a JSON value by the path of their names.
func numbers(out map[string]float64, path string, v any) {
	switch v := v.(type) {
	case float64:
		out[path] = v
	case map[string]any:
		for name, x := range v {
			numbers(out, strings.TrimPrefix(path+"."+name, "."), x)
		}
	}
}
