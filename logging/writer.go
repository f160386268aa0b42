package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ringBytes bounds the lines that wait for their writer.
	ringBytes = 1 << 20
	// flushInterval bounds how long a line waits for others.
	flushInterval = 50 * time.Millisecond
)

// Writer passes lines to a slow writer in the background and drops them when too
// many wait.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	waiting []byte
	wake    chan struct{}
	dropped atomic.Int64
	busy    bool
}

// NewWriter returns a writer to out; its goroutine lives as long as the process.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write takes a line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > ringBytes {
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

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Sync waits until all lines are written, at most for a flush interval or two.
func (w *Writer) Sync() error {
	deadline := time.Now().Add(4 * flushInterval)
	for time.Now().Before(deadline) {
		w.mu.Lock()
		done := len(w.waiting) == 0 && !w.busy
		w.mu.Unlock()
		if done {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// run writes what waits, many lines at once.
func (w *Writer) run() {
	for range w.wake {
		time.Sleep(flushInterval)
		w.mu.Lock()
		lines := w.waiting
		w.waiting, w.busy = nil, true
		w.mu.Unlock()
		if _, err := w.out.Write(lines); err != nil {
			w.dropped.Add(1)
		}
		w.mu.Lock()
		w.busy = false
		w.mu.Unlock()
	}
}
