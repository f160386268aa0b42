package queue_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed, so that every run has the same result; the
// flags -rapid.seed and -rapid.checks select other cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
