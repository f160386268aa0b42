package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.ini")
	require.NoError(t, os.WriteFile(broken, []byte("[process]\nrole = entry\ncolour = blue\n"), 0o600))
	tests := []struct {
		name string
		args []string
		want int
	}{
		{name: "valid settings", args: []string{"check", "--settings", "../../examples/settings-entry.ini"}, want: 0},
		{name: "invalid settings", args: []string{"check", "--settings", broken}, want: exitInvalid},
		{name: "run with invalid settings", args: []string{"run", "--settings", broken}, want: exitInvalid},
		{name: "unknown flag", args: []string{"check", "--colour", "blue"}, want: exitInvalid},
		{name: "no such script", args: []string{"dev", "--program", "no-such.ini", "--exit"}, want: exitInvalid},
		{name: "program meets its target", args: []string{"dev", "--program", "../../examples/survey.ini", "--exit"}, want: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, run(context.Background(), append([]string{"lavendervaled"}, test.args...)))
		})
	}
}

// TestMissedTargetExitsNonZero runs an example script with a target of 1 ms. It
// cannot be met, so the exit code must report a failure although every step runs.
func TestMissedTargetExitsNonZero(t *testing.T) {
	configuration := filepath.Join(t.TempDir(), "configuration.ini")
	text := "[class \"survey\"]\nrank = urgent\ntarget = 1ms\nbudget = 60000\n\n[service \"payment\"]\norders = pay\n"
	require.NoError(t, os.WriteFile(configuration, []byte(text), 0o600))
	args := []string{"lavendervaled", "dev", "--program", "../../examples/survey.ini", "--configuration", configuration, "--exit"}
	require.Equal(t, exitFailed, run(context.Background(), args))
}
