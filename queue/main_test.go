package queue_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests (package rapid) a fixed seed, so that every run
// checks the same cases; the flags -rapid.seed and -rapid.checks select others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
