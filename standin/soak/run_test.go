package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSeedsHold plays short schedules of the faults that no entry of KNOWN-RED.txt names.
func TestSeedsHold(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "lavendervaled")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/lavendervaled").CombinedOutput()
	require.NoError(t, err, string(output))
	faults, err := ParseFaults("kill,stop,pause,hangup,crash,replace,break,cut,unframed,late,config,store-slow,link-delay,link-reset,speed,slow-reader,flood,hostile-head")
	require.NoError(t, err)
	result, err := Run(Config{
		Binary: binary, Out: t.TempDir(), Seed: 1, Duration: 18 * time.Second, Fronts: 3, Faults: faults,
		GraceSlack: time.Hour, ReadyTime: time.Hour, RecoveryTime: time.Hour,
	})
	require.NoError(t, err)
	require.Empty(t, result.violations, result.Verdict())
	require.NotZero(t, result.faults)
}
