package platform

import (
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/timer"
)

// Log is a fake of the platform's log: streams of entries with consecutive offsets. It
// is safe for concurrent use.
type Log struct {
	// mu guards the fields below.
	mu sync.Mutex
	// streams holds the streams by name.
	streams       map[string]*stream
	faults        LogFaults
	appendCount   int64
	appendedBytes int64
	readCount     int64
}

// stream holds the retained entries of a stream.
type stream struct {
	// firstOffset is the offset of entries[0], or the next offset if entries is empty.
	firstOffset int64
	entries     []fleet.LogEntry
}

// LogFaults are failures that the log simulates; the zero value means none.
type LogFaults struct {
	// Down makes all appends and reads fail with fleet.KindUnavailable and without an
	// effect.
	Down bool
	// LoseAppendResponses makes appends take effect and then fail with
	// fleet.KindUnknown.
	LoseAppendResponses bool
	// Delay is the time that each append and read waits before it is processed.
	Delay time.Duration
}

// LogStats holds counters of a log.
type LogStats struct {
	// Appends is the number of appends that took effect, including those whose response
	// was lost.
	Appends int64
	// AppendedBytes is the size of the data that these appends added.
	AppendedBytes int64
	// Reads is the number of reads while the log was not down.
	Reads int64
}

// NewLog returns an empty log without faults.
func NewLog() *Log { return &Log{streams: map[string]*stream{}} }

// SetFaults replaces the failures that the log simulates.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Stats returns the counters of the log since its creation.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogStats{Appends: l.appendCount, AppendedBytes: l.appendedBytes, Reads: l.readCount}
}

// Append appends a copy of data to a stream and returns the offset of the new entry. An
// error of fleet.KindUnavailable means that nothing was appended. An error of
// fleet.KindUnknown means that the response was lost after the append, or that ctx ended
// during the simulated delay.
func (l *Log) Append(ctx context.Context, streamName string, data []byte) (int64, error) {
	const op = "append to log"
	if err := l.delay(ctx, op); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, fleet.Errorf(op, fleet.KindUnavailable, "injected fault: log is unavailable")
	}
	s := l.streamLocked(streamName)
	offset := s.firstOffset + int64(len(s.entries))
	s.entries = append(s.entries, fleet.NewLogEntry(offset, append([]byte(nil), data...), time.Now()))
	l.appendCount++
	l.appendedBytes += int64(len(data))
	if l.faults.LoseAppendResponses {
		return 0, fleet.Errorf(op, fleet.KindUnknown, "injected fault: response lost after the append took effect")
	}
	return offset, nil
}

// Read returns up to limit entries of a stream, starting at fromOffset. If entries from
// fromOffset on have expired, it returns the entries from the first retained one on, with
// an error of fleet.KindExpired. Other errors are of fleet.KindUnavailable while the log
// is down and of fleet.KindUnknown if ctx ends during the simulated delay.
func (l *Log) Read(ctx context.Context, streamName string, fromOffset int64, limit int) (fleet.LogPage, error) {
	const op = "read log"
	if err := l.delay(ctx, op); err != nil {
		return fleet.LogPage{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return fleet.LogPage{}, fleet.Errorf(op, fleet.KindUnavailable, "injected fault: log is unavailable")
	}
	l.readCount++
	s := l.streamLocked(streamName)
	nextOffset := s.firstOffset + int64(len(s.entries))
	startOffset := min(max(fromOffset, s.firstOffset), nextOffset)
	endOffset := min(startOffset+int64(limit), nextOffset)
	entries := append([]fleet.LogEntry(nil), s.entries[startOffset-s.firstOffset:endOffset-s.firstOffset]...)
	page := fleet.NewLogPage(s.firstOffset, nextOffset, entries)
	if fromOffset < s.firstOffset {
		return page, fleet.Errorf(op, fleet.KindExpired, "offset %d has expired, the first retained offset is %d", fromOffset, s.firstOffset)
	}
	return page, nil
}

// Expire removes the entries of a stream before an offset.
func (l *Log) Expire(streamName string, beforeOffset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamLocked(streamName)
	dropped := min(max(0, beforeOffset-s.firstOffset), int64(len(s.entries)))
	s.entries = append([]fleet.LogEntry(nil), s.entries[dropped:]...)
	s.firstOffset += dropped
}

// Reset removes all streams, so that their offsets start at 0 again, as on a platform
// that has lost its data.
func (l *Log) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = map[string]*stream{}
}

// streamLocked returns a stream and creates it if necessary. The caller holds l.mu.
func (l *Log) streamLocked(streamName string) *stream {
	s, ok := l.streams[streamName]
	if !ok {
		s = &stream{}
		l.streams[streamName] = s
	}
	return s
}

// delay waits for the simulated delay or until ctx ends.
func (l *Log) delay(ctx context.Context, op string) error {
	l.mu.Lock()
	d := l.faults.Delay
	l.mu.Unlock()
	if d == 0 {
		return nil
	}
	if err := timer.Sleep(ctx, d); err != nil {
		return fleet.Errorf(op, fleet.KindUnknown, "%w", err)
	}
	return nil
}
