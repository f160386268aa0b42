package logging_test

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavendervale/lavendervale/logging"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// A reader of the log that has stopped reading must not block the process: lines beyond
// the queue are dropped.
func TestWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := logging.NewWriter(out)
	line := append(bytes.Repeat([]byte("x"), 1023), '\n')
	for range 5000 {
		n, err := w.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Positive(t, w.Dropped())
	close(out.release)
}

// failingWriter writes the first bytes and fails at the rest of each write.
type failingWriter struct {
	first int
}

func (w failingWriter) Write([]byte) (int, error) { return w.first, io.ErrClosedPipe }

func TestLinesOfFailedWritesAreCounted(t *testing.T) {
	w := logging.NewWriter(failingWriter{first: len("first\nsec")})
	_, err := w.Write([]byte("first\nsecond\nthird\n"))
	require.NoError(t, err)
	require.ErrorIs(t, <-w.Failures(), io.ErrClosedPipe)
	require.EqualValues(t, 2, w.Dropped())
}

// Successful requests must not use up the limit of refused ones, whose lines explain
// failures.
func TestAnsweredRequestsDoNotUseUpOtherLogLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, lines := observer.New(zapcore.InfoLevel)
		core, dropped := logging.NewLimitedCore(inner, logging.Limits{AnsweredPerSecond: 5, OtherPerSecond: 50})
		log := zap.New(core).With(zap.String("instance", "front-1"))
		for i := range 100 {
			log.Info("request", zap.String("request", fmt.Sprint(i)), zap.String("outcome", "answered"))
		}
		for i := range 40 {
			log.Info("request", zap.String("request", fmt.Sprint(i)), zap.String("outcome", "refused"))
		}
		require.Equal(t, 5, lines.FilterField(zap.String("outcome", "answered")).Len())
		require.Equal(t, 40, lines.FilterField(zap.String("outcome", "refused")).Len())
		require.EqualValues(t, 95, dropped())
	})
}
