package fleet

import "time"

// LogEntry is an entry of a log stream.
type LogEntry struct {
	offset     int64
	data       []byte
	appendedAt time.Time
}

// NewLogEntry returns a LogEntry. It keeps data, which must not be modified afterwards.
func NewLogEntry(offset int64, data []byte, appendedAt time.Time) LogEntry {
	return LogEntry{offset: offset, data: data, appendedAt: appendedAt}
}

// Offset returns the position of the entry in its stream.
func (e LogEntry) Offset() int64 { return e.offset }

// Data returns the bytes that were appended. They must not be modified.
func (e LogEntry) Data() []byte { return e.data }

// AppendedAt returns when the log accepted the entry.
func (e LogEntry) AppendedAt() time.Time { return e.appendedAt }

// LogPage is the result of one read of a stream.
type LogPage struct {
	firstOffset int64
	nextOffset  int64
	entries     []LogEntry
}

// NewLogPage returns a page. firstOffset is the oldest offset that the log retains, nextOffset
// the offset that the next append will get.
func NewLogPage(firstOffset, nextOffset int64, entries []LogEntry) LogPage {
	return LogPage{firstOffset: firstOffset, nextOffset: nextOffset, entries: entries}
}

// FirstOffset returns the oldest offset that the log retains.
func (p LogPage) FirstOffset() int64 { return p.firstOffset }

// NextOffset returns the offset that the next append will get.
func (p LogPage) NextOffset() int64 { return p.nextOffset }

// Entries returns the entries that were read, ordered by offset.
func (p LogPage) Entries() []LogEntry { return p.entries }
