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
	raw, err := a.instances.Counters(ctx)
	if err != nil {
		return fmt.Errorf("counters of instances: %w", err)
	}
	numbers := map[string]map[string]float64{}
	for addr, data := range raw {
		var v any
		if err := json.Unmarshal(data, &v); err != nil {
			return fmt.Errorf("counters of %s: %w", addr, err)
		}
		numbers[addr] = map[string]float64{}
		flattenNumbers(numbers[addr], "", v)
	}
	return a.emit(raw, func(w *strings.Builder) {
		writeTable(w, func(w *strings.Builder) {
			for _, addr := range sortedKeys(numbers) {
				for _, name := range sortedKeys(numbers[addr]) {
					if a.showCounter(name, numbers[addr][name], cmd.Args().First()) {
						fmt.Fprintf(w, "%s\t%s\t%.0f\n", addr, name, numbers[addr][name])
					}
				}
			}
		})
	})
}

// showCounter reports whether a counter is printed. Without a prefix, zeros and
// the memory statistics of the Go runtime are left out.
func (*App) showCounter(name string, n float64, prefix string) bool {
	if prefix != "" {
		return strings.HasPrefix(name, prefix)
	}
	return n != 0 && !strings.HasPrefix(name, "memstats.")
}

// flattenNumbers adds the numbers of a JSON value to out, keyed by their names
// joined with dots.
func flattenNumbers(out map[string]float64, path string, v any) {
	switch v := v.(type) {
	case float64:
		out[path] = v
	case map[string]any:
		for name, x := range v {
			flattenNumbers(out, strings.TrimPrefix(path+"."+name, "."), x)
		}
	}
}
