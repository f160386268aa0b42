package main

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/examples"
	"github.com/lavendervale/lavendervale/signals"
)

// anyPort matches the listeners in the example files.
var anyPort = regexp.MustCompile(`(?m)^(callers|ready|peers|metrics|admin) = .*`)

// runSettingsEnv names the settings file that the test binary runs a process with, in place of
// the tests.
const runSettingsEnv = "LAVENDERVALED_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if path := os.Getenv(runSettingsEnv); path != "" {
		os.Args = []string{"lavendervaled", "run", "--settings", path}
		main()
	}
	go func() {
		<-signals.Stopped().Done()
		os.Exit(1)
	}()
	os.Exit(m.Run())
}

// TestHangupStopsNoProcess sends SIGHUP to a process of each role, which must read its settings
// again and end at SIGTERM only.
func TestHangupStopsNoProcess(t *testing.T) {
	for _, role := range []string{"front", "entry", "engine", "service"} {
		t.Run(role, func(t *testing.T) {
			text, err := examples.Files.ReadFile("settings-" + role + ".ini")
			require.NoError(t, err)
			path := filepath.Join(t.TempDir(), "settings.ini")
			require.NoError(t, os.WriteFile(path, anyPort.ReplaceAll(text, []byte("$1 = 127.0.0.1:0")), 0o600))
			process := exec.CommandContext(t.Context(), os.Args[0])
			process.Env = append(os.Environ(), runSettingsEnv+"="+path)
			output, err := process.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, process.Start())
			lines := bufio.NewScanner(output)
			require.True(t, lines.Scan(), "the process ended before its first line")
			require.NoError(t, process.Process.Signal(syscall.SIGHUP))
			for !strings.Contains(lines.Text(), "settings read") {
				require.True(t, lines.Scan(), "the process ended at SIGHUP")
			}
			require.NoError(t, process.Process.Signal(syscall.SIGTERM))
			for lines.Scan() {
			}
			require.NoError(t, process.Wait())
		})
	}
}

// TestHangupReportsEveryChangedSetting changes each setting of the example files.
func TestHangupReportsEveryChangedSetting(t *testing.T) {
	tests := []struct {
		file string
		// changes holds the settings in the order of the file, each changed.
		changes []string
	}{
		{file: "settings-front.ini", changes: []string{
			"role = service", "name = front-2", "domain = b", "grace = 9s", "memory = 257", "processors = 0.9",
			"callers = 127.0.0.1:1", "ready = 127.0.0.1:1", "peers = 127.0.0.1:1", "metrics = 127.0.0.1:1",
			"address = 127.0.0.1:1", "shards = 13", "writes = 801", "record_bytes = 262145", "level = warn", "format = console",
			"contracts = pressure", "admission = refuse", "load = 0.8",
		}},
		{file: "settings-entry.ini", changes: []string{
			"name = entry-2", "domain = domain-b", "role = engine", "stop-timeout = 6m", "callers = 127.0.0.1:1", "admin = 127.0.0.1:1",
			"address = 127.0.0.1:1", "key = " + strings.Repeat("00", 32), "omuti = another-key-of-omuti",
			"head = another-key-of-head", "level = warn", "format = console",
		}},
		{file: "settings-engine.ini", changes: []string{
			"name = model-2", "domain = domain-b", "role = service", "peers = 127.0.0.1:1", "admin = 127.0.0.1:1",
			"address = 127.0.0.1:1", "address = 127.0.0.1:1", "slots = 17", "memory = 1500001", "head = another-key-of-head",
		}},
		{file: "settings-service.ini", changes: []string{
			"name = payment-2", "domain = domain-c", "role = engine", "peers = 127.0.0.1:1", "admin = 127.0.0.1:1",
			"name = order", "address = 127.0.0.1:1", "timeout = 31s", "slots = 33", "head = another-key-of-head",
		}},
	}
	for _, test := range tests {
		t.Run(test.file, func(t *testing.T) {
			text, err := examples.Files.ReadFile(test.file)
			require.NoError(t, err)
			require.Equal(t, []any{false}, hangUp(t, string(text), "; a comment\n"+string(text)))
			lines := strings.Split(string(text), "\n")
			changes := test.changes
			for i, line := range lines {
				key, _, ok := strings.Cut(line, " = ")
				if !ok || line[0] == '#' {
					continue
				}
				require.NotEmpty(t, changes, "no change of %q", line)
				change := changes[0]
				changes = changes[1:]
				require.True(t, strings.HasPrefix(change, key+" = ") && change != line, "%q is no change of %q", change, line)
				changed := append([]string(nil), lines...)
				changed[i] = change
				got := hangUp(t, string(text), strings.Join(changed, "\n"))
				if key == "role" {
					require.Equal(t, []any{"read settings"}, got, "a file for another role is not valid")
					continue
				}
				require.Equal(t, []any{true}, got, change)
			}
			require.Empty(t, changes)
		})
	}
}

// hangUp makes a process that started with one text of its settings file read another one.
// It returns restart_needed of each line logged, or the operation of its error.
func hangUp(t *testing.T, before, after string) []any {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(before), 0o600))
	settings, err := inifile.ReadSettingsFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte(after), 0o600))
	core, logs := observer.New(zap.InfoLevel)
	ctx, cancel := context.WithCancel(t.Context())
	hangups := make(chan os.Signal)
	var recheck sync.WaitGroup
	recheck.Go(func() { recheckSettings(ctx, hangups, path, settings, zap.New(core)) })
	hangups <- syscall.SIGHUP
	cancel()
	recheck.Wait()
	var got []any
	for _, line := range logs.All() {
		fields := line.ContextMap()
		if text, ok := fields["error"].(string); ok {
			op, _, _ := strings.Cut(text, ":")
			got = append(got, op)
			continue
		}
		got = append(got, fields["restart_needed"])
	}
	return got
}
