package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/dev"
	"github.com/lavendervale/lavendervale/examples"
)

// commandLine runs commands against a local cluster.
type commandLine struct {
	t       *testing.T
	cluster *dev.Cluster
}

// newCommandLine starts a cluster with two engines and the service payment.
func newCommandLine(t *testing.T) *commandLine {
	t.Helper()
	configuration, err := examples.Files.ReadFile("configuration.ini")
	require.NoError(t, err)
	cluster, err := dev.Start(dev.Config{Configuration: string(configuration), Engines: 2, Domains: 2, Services: []string{"payment"}})
	require.NoError(t, err)
	t.Cleanup(cluster.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, cluster.WaitReady(ctx))
	return &commandLine{t: t, cluster: cluster}
}

// run returns what a command prints to standard output and error, and its exit code.
func (u *commandLine) run(args ...string) (string, int) {
	u.t.Helper()
	addresses := u.cluster.Addresses("entry-1")
	allArgs := append([]string{
		"lavendervale", "--admin", addresses.Admin, "--operator-key", u.cluster.OperatorKey(),
		"--entry", addresses.Callers, "--caller-key", u.cluster.CallerKey(),
	}, args...)
	var stdout, stderr bytes.Buffer
	code := run(context.Background(), allArgs, &stdout, &stderr)
	return stdout.String() + stderr.String(), code
}

// mustRun runs a command that must succeed and returns what it prints.
func (u *commandLine) mustRun(args ...string) string {
	u.t.Helper()
	out, code := u.run(args...)
	require.Zero(u.t, code, out)
	return out
}

// TestOperatorCommands runs the operator commands in sequence: drain and return publish a
// version each, and a publication from an outdated base fails with a conflict. A dump must
// not contain the caller's key.
func TestOperatorCommands(t *testing.T) {
	u := newCommandLine(t)
	require.Contains(t, u.mustRun("class", "list"), "quote")
	require.Contains(t, u.mustRun("config", "show"), "# version 0 by operator")
	require.Contains(t, u.mustRun("endpoint", "list"), "model-2")
	require.Contains(t, u.mustRun("endpoint", "drain", "model-2"), "version 1 is in force")
	require.Contains(t, u.mustRun("config", "show"), "endpoints = model-2")
	require.Contains(t, u.mustRun("endpoint", "return", "model-2"), "version 2 is in force")
	require.NotContains(t, u.mustRun("config", "show"), "[drain]")
	out, code := u.run("config", "publish", "--base", "0", "../../examples/configuration.ini")
	require.Equal(t, exitConflict, code)
	require.Contains(t, out, "made from version 0, but 2 is in force")
	require.Equal(t, 3, strings.Count(u.mustRun("config", "history"), "accepted"))
	require.Contains(t, u.mustRun("dump"), `"role": "entry"`)
	require.Contains(t, u.mustRun("dump", u.cluster.Addresses("model-1").Admin), `"role": "engine"`)
	require.NotContains(t, u.mustRun("dump"), u.cluster.CallerKey())
}

// TestProgramCommands starts, calls, shows and cancels a program from the command line. The
// order must run exactly once.
func TestProgramCommands(t *testing.T) {
	u := newCommandLine(t)
	var started struct{ Handle string }
	require.NoError(t, json.Unmarshal([]byte(u.mustRun("--output", "json", "program", "start", "--class", "quote")), &started))
	require.Contains(t, u.mustRun("program", "call", "--handle", started.Handle, "--message", "hello", "--max-tokens", "3"), "handle ")
	require.Contains(t, u.mustRun("program", "call", "--handle", started.Handle, "--order", "payment/pay"), "payment-000001")
	require.Contains(t, u.mustRun("program", "show", "--handle", started.Handle), "active")
	require.Contains(t, u.mustRun("program", "cancel", "--handle", started.Handle), "canceled")
	require.Contains(t, u.mustRun("status"), "quote")
	require.Len(t, u.cluster.Service("payment").Effects(), 1)
}

func TestErrorExitCodes(t *testing.T) {
	u := newCommandLine(t)
	broken := filepath.Join(t.TempDir(), "broken.ini")
	require.NoError(t, os.WriteFile(broken, []byte("[class \"a\"]\nrank = high\n"), 0o600))
	tests := []struct {
		name string
		args []string
		want int
	}{
		{name: "broken configuration", args: []string{"config", "check", broken}, want: exitInvalid},
		{name: "no file", args: []string{"config", "publish"}, want: exitInvalid},
		{name: "unknown endpoint", args: []string{"endpoint", "drain", "model-9"}, want: exitInvalid},
		{name: "unknown output format", args: []string{"--output", "yaml", "class", "list"}, want: exitInvalid},
		{name: "host name as address", args: []string{"--admin", "localhost:1", "class", "list"}, want: exitInvalid},
		{name: "no listener", args: []string{"--admin", "127.0.0.1:1", "class", "list"}, want: exitUnavailable},
		{name: "wrong key", args: []string{"--operator-key", "wrong", "class", "list"}, want: exitFailed},
		{name: "unknown class", args: []string{"program", "start", "--class", "none"}, want: exitInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out, code := u.run(test.args...)
			require.Equal(t, test.want, code, out)
		})
	}
}

func TestDiffLines(t *testing.T) {
	tests := []struct {
		name          string
		before, after string
		want          []string
	}{
		{name: "same", before: "a\nb", after: "a\nb"},
		{name: "changed", before: "a\nb\nc", after: "a\nx\nc", want: []string{"- b", "+ x"}},
		{name: "added", before: "a", after: "a\nb", want: []string{"+ b"}},
		{name: "removed", before: "a\nb", after: "b", want: []string{"- a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, diffLines(test.before, test.after))
		})
	}
}
