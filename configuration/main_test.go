package configuration_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that every run has the same result. The flags
// -rapid.seed and -rapid.checks select other and more cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
