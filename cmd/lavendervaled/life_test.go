package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/examples"
)

// earlySignalEnv names the signal, as a number, that the test binary sends to itself before main.
const earlySignalEnv = "LAVENDERVALED_TEST_EARLY_SIGNAL"

var roles = []string{"front", "entry", "engine", "service"}

func init() {
	if number, err := strconv.Atoi(os.Getenv(earlySignalEnv)); err == nil {
		_ = syscall.Kill(os.Getpid(), syscall.Signal(number))
	}
}

// child is a process under test with its output.
type child struct {
	*exec.Cmd
	stdout, stderr *lineReader
}

// lineReader reads the lines of one output of a process.
type lineReader struct {
	file  *os.File
	lines *bufio.Scanner
}

func newLineReader(t *testing.T) (*lineReader, *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = read.Close() })
	return &lineReader{file: read, lines: bufio.NewScanner(read)}, write
}

// await reads an output until a line contains text; at its end it fails the test.
func (c *child) await(t *testing.T, output *lineReader, text string) {
	t.Helper()
	var last string
	for output.lines.Scan() {
		if last = output.lines.Text(); strings.Contains(last, text) {
			return
		}
	}
	_ = c.Wait()
	t.Fatalf("no line %q before the end of the process (%s), its last line: %s", text, c.ProcessState, last)
}

// startChild runs a process with a settings file.
func startChild(t *testing.T, path string, env ...string) *child {
	t.Helper()
	c := &child{Cmd: exec.CommandContext(t.Context(), os.Args[0])}
	var stdout, stderr *os.File
	c.stdout, stdout = newLineReader(t)
	c.stderr, stderr = newLineReader(t)
	c.Stdout, c.Stderr = stdout, stderr
	c.Env = append(append(os.Environ(), runSettingsEnv+"="+path), env...)
	require.NoError(t, c.Start())
	require.NoError(t, stdout.Close())
	require.NoError(t, stderr.Close())
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

// exampleSettings returns the example settings of a role with ports that the system chooses.
func exampleSettings(t *testing.T, role string) string {
	t.Helper()
	text, err := examples.Files.ReadFile("settings-" + role + ".ini")
	require.NoError(t, err)
	return anyPort.ReplaceAllString(string(text), "$1 = 127.0.0.1:0")
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLostLogReaderStopsNoProcess(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			c := startChild(t, writeSettings(t, exampleSettings(t, role)))
			require.True(t, c.stdout.lines.Scan())
			require.NoError(t, c.stdout.file.Close())
			require.NoError(t, c.Process.Signal(syscall.SIGHUP))
			c.await(t, c.stderr, "writing the log failed")
			require.NoError(t, c.stderr.file.Close())
			require.NoError(t, c.Process.Signal(syscall.SIGTERM))
			require.NoError(t, c.Wait())
		})
	}
}

func TestSignalBeforeMainIsHandled(t *testing.T) {
	for _, role := range roles {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			path := writeSettings(t, exampleSettings(t, role))
			hungUp := startChild(t, path, earlySignalEnv+"="+strconv.Itoa(int(syscall.SIGHUP)))
			hungUp.await(t, hungUp.stdout, "settings read")
			stopped := startChild(t, path, earlySignalEnv+"="+strconv.Itoa(int(syscall.SIGTERM)))
			stopped.await(t, stopped.stdout, "terminated signal received")
			require.NoError(t, stopped.Wait())
		})
	}
}

// Package signals needs os/signal, so no place is earlier than the one right after it.
func TestSignalsAreHandledBeforeOtherPackagesAreInitialized(t *testing.T) {
	c := startChild(t, filepath.Join(t.TempDir(), "none"), "GODEBUG=inittrace=1")
	c.await(t, c.stderr, "init os/signal ")
	require.True(t, c.stderr.lines.Scan())
	require.Contains(t, c.stderr.lines.Text(), "init github.com/lavendervale/lavendervale/signals ")
}

func TestStartWaitsUntilAddressIsFree(t *testing.T) {
	tests := []struct {
		role, key, network string
	}{
		{role: "front", key: "callers", network: "tcp"},
		{role: "front", key: "ready", network: "tcp"},
		{role: "front", key: "peers", network: "tcp"},
		{role: "front", key: "peers", network: "udp"},
		{role: "front", key: "metrics", network: "tcp"},
		{role: "entry", key: "callers", network: "tcp"},
		{role: "engine", key: "peers", network: "tcp"},
		{role: "service", key: "admin", network: "tcp"},
	}
	for _, test := range tests {
		t.Run(test.role+" "+test.key+" "+test.network, func(t *testing.T) {
			t.Parallel()
			address, release := occupy(t, test.network)
			settings := strings.Replace(exampleSettings(t, test.role), test.key+" = 127.0.0.1:0", test.key+" = "+address, 1)
			c := startChild(t, writeSettings(t, settings))
			c.await(t, c.stdout, "address already in use")
			release()
			c.await(t, c.stdout, "start")
		})
	}
}

// occupy takes a port of loopback that is free for TCP and UDP, for one of them. It returns its
// address and a function that frees it.
func occupy(t *testing.T, network string) (string, func()) {
	t.Helper()
	for range 100 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := listener.Addr().String()
		conn, err := net.ListenPacket("udp", address)
		if err != nil {
			require.NoError(t, listener.Close())
			continue
		}
		occupied, other := io.Closer(listener), io.Closer(conn)
		if network == "udp" {
			occupied, other = other, occupied
		}
		require.NoError(t, other.Close())
		return address, func() { require.NoError(t, occupied.Close()) }
	}
	t.Fatal("no port is free for both TCP and UDP")
	return "", nil
}

func TestStartWaitsForWholeSettings(t *testing.T) {
	tests := []struct {
		name string
		// head returns what the file holds at first of its whole text; nil stands for no file.
		head func(whole string) string
	}{
		{name: "missing"},
		{name: "empty", head: func(string) string { return "" }},
		{name: "half written", head: func(whole string) string { return whole[:len(whole)/2] }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			whole := exampleSettings(t, "front")
			path := writeSettings(t, whole)
			require.NoError(t, os.Remove(path))
			if test.head != nil {
				require.NoError(t, os.WriteFile(path, []byte(test.head(whole)), 0o600))
			}
			c := startChild(t, path)
			c.await(t, c.stderr, "can't read the settings yet")
			next := path + ".next"
			require.NoError(t, os.WriteFile(next, []byte(whole), 0o600))
			require.NoError(t, os.Rename(next, path))
			c.await(t, c.stdout, "front starts")
		})
	}
}

func TestSettingsAreAwaitedForALimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := writeSettings(t, "[process]\nrole = front\n")
		var output bytes.Buffer
		began := time.Now()
		_, err := awaitSettings(t.Context(), path, &output)
		require.ErrorContains(t, err, "[process] name: missing")
		require.Equal(t, settingsTimeout, time.Since(began))
		require.Equal(t, 1, strings.Count(output.String(), "can't read the settings yet"))
		require.Contains(t, output.String(), "[process] name: missing")

		stopped := errors.New("stopped")
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(settingsTimeout/2, func() { cancel(stopped) })
		began = time.Now()
		settings, err := awaitSettings(ctx, path, &output)
		require.Nil(t, settings)
		require.ErrorIs(t, err, stopped)
		require.Equal(t, settingsTimeout/2, time.Since(began))
	})
}
