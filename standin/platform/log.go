package platform

import (
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/timer"
)

// Log is the stand-in log.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	appends int64
	bytes   int64
	reads   int64
}

type stream struct {
	first   int64
	entries []fleet.LogEntry
}

// LogFaults makes the log misbehave.
type LogFaults struct {
	// Down makes the log refuse everything.
	Down bool
	// LoseAnswers makes appends take effect and answer with an error.
	LoseAnswers bool
	// Delay is how long each request takes.
	Delay time.Duration
}

// LogStats counts what the log has done.
type LogStats struct {
	// Appends counts appends that took effect.
	Appends int64
	// Bytes counts the bytes appended.
	Bytes int64
	// Reads counts reads answered.
	Reads int64
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{streams: map[string]*stream{}} }

// SetFaults changes how the log misbehaves.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Stats returns what the log has done so far.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogStats{Appends: l.appends, Bytes: l.bytes, Reads: l.reads}
}

// Append adds data to a stream and returns its offset.
func (l *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	const op = "append to log"
	if err := l.delay(ctx, op); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, fleet.Errorf(op, fleet.KindUnavailable, "log is down")
	}
	s := l.streamLocked(name)
	offset := s.first + int64(len(s.entries))
	s.entries = append(s.entries, fleet.NewLogEntry(offset, append([]byte(nil), data...), time.Now()))
	l.appends++
	l.bytes += int64(len(data))
	if l.faults.LoseAnswers {
		return 0, fleet.Errorf(op, fleet.KindUnknown, "answer was lost")
	}
	return offset, nil
}

// Read returns up to limit entries of a stream from an offset on.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int) (fleet.LogPage, error) {
	const op = "read log"
	if err := l.delay(ctx, op); err != nil {
		return fleet.LogPage{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return fleet.LogPage{}, fleet.Errorf(op, fleet.KindUnavailable, "log is down")
	}
	l.reads++
	s := l.streamLocked(name)
	next := s.first + int64(len(s.entries))
	start := min(max(from, s.first), next)
	end := min(start+int64(limit), next)
	entries := append([]fleet.LogEntry(nil), s.entries[start-s.first:end-s.first]...)
	page := fleet.NewLogPage(s.first, next, entries)
	if from < s.first {
		return page, fleet.Errorf(op, fleet.KindExpired, "offset %d is older than %d", from, s.first)
	}
	return page, nil
}

// Expire drops the entries of a stream before an offset.
func (l *Log) Expire(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamLocked(name)
	n := min(max(0, before-s.first), int64(len(s.entries)))
	s.entries = append([]fleet.LogEntry(nil), s.entries[n:]...)
	s.first += n
}

// Restart empties the log, so that offsets begin at 0 again.
func (l *Log) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = map[string]*stream{}
}

func (l *Log) streamLocked(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

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
