package pick

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
// Another seed searches further.
func TestMain(m *testing.M) {
	for k, v := range map[string]string{"rapid.seed": "16", "rapid.nofailfile": "true"} {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
