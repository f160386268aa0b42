package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxWaitingBytes bounds the lines that wait to be written.
	maxWaitingBytes = 1 << 20
	// flushInterval is how long lines are collected before they are written together.
	flushInterval = 50 * time.Millisecond
)

// Writer writes lines to another writer in the background and drops lines while more
// than 1 MiB waits, so that a slow or blocked reader of the log does not block the
// process.
type Writer struct {
	out io.Writer
	// mu guards waiting and writing.
	mu sync.Mutex
	// waiting holds the lines that have not been passed to out.
	waiting []byte
	// wake has capacity 1 and is filled when lines are waiting.
	wake    chan struct{}
	dropped atomic.Int64
	// writing is set while a write to out is in progress.
	writing bool
	// failures has capacity 1 and receives the error of a failed write that follows a successful one.
	failures chan error
}

// NewWriter returns a writer to out. It starts a goroutine that is never stopped.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), failures: make(chan error, 1)}
	go w.run()
	return w
}

// Write queues a line or drops it. It always returns len(line) and no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > maxWaitingBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far, those of failed writes to out included.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Failures returns a channel that receives the error of the first of consecutive failed writes
// to out.
func (w *Writer) Failures() <-chan error { return w.failures }

// Sync waits until all lines have been written, for at most 200 ms. It returns no error,
// even when lines are left.
func (w *Writer) Sync() error {
	deadline := time.Now().Add(4 * flushInterval)
	for time.Now().Before(deadline) {
		w.mu.Lock()
		done := len(w.waiting) == 0 && !w.writing
		w.mu.Unlock()
		if done {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// run writes the waiting lines, one write per flush interval. A failed write is not repeated, but
// later ones are tried: out may be a file on a disk that was full.
func (w *Writer) run() {
	failing := false
	for range w.wake {
		time.Sleep(flushInterval)
		w.mu.Lock()
		lines := w.waiting
		w.waiting, w.writing = nil, true
		w.mu.Unlock()
		n, err := w.out.Write(lines)
		if err != nil {
			w.dropped.Add(int64(bytes.Count(lines[n:], []byte("\n"))))
			if !failing {
				select {
				case w.failures <- err:
				default:
				}
			}
		}
		failing = err != nil
		w.mu.Lock()
		w.writing = false
		w.mu.Unlock()
	}
}
