package cost

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that every run gives the same result.
func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "36", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
