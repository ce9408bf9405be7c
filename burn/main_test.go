package burn

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes every run check the same cases.
	for name, value := range map[string]string{"rapid.seed": "20260301", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
