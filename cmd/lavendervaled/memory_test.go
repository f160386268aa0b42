package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// memoryMB is the memory of a front of the platform, in MiB.
	memoryMB = 154
	// halfSentHeads is what a front with 8,200 descriptors can hold beside its other sockets.
	halfSentHeads = 7900
)

var (
	callersPort   = regexp.MustCompile(`"callers":"([0-9.:]+)"`)
	residentBytes = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)
)

func TestHalfSentHeadsFitInMemory(t *testing.T) {
	settings := regexp.MustCompile(`(?m)^memory = .*`).ReplaceAllString(exampleSettings(t, "front"), fmt.Sprint("memory = ", memoryMB))
	c := startChild(t, writeSettings(t, settings))
	require.True(t, c.stdout.lines.Scan())
	address := callersPort.FindStringSubmatch(c.stdout.lines.Text())
	require.Len(t, address, 2, c.stdout.lines.Text())
	go func() { _, _ = io.Copy(io.Discard, c.stdout.file) }()
	head := "GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 7900)
	for range halfSentHeads {
		conn, err := net.Dial("tcp", address[1])
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		// The front may close connections.
		_, _ = io.WriteString(conn, head)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.Process.Pid))
	require.NoError(t, err)
	resident := residentBytes.FindSubmatch(status)
	require.Len(t, resident, 2)
	kilobytes, err := strconv.Atoi(string(resident[1]))
	require.NoError(t, err)
	require.LessOrEqual(t, kilobytes, memoryMB<<10)
}
