package fleet

import "time"

// Entry is one record of a log stream.
type Entry struct {
	offset int64
	data   []byte
	time   time.Time
}

// NewEntry returns an entry; the caller must not change data afterwards.
func NewEntry(offset int64, data []byte, at time.Time) Entry {
	return Entry{offset: offset, data: data, time: at}
}

// Offset returns the position in the stream.
func (e Entry) Offset() int64 { return e.offset }

// Data returns the bytes that were appended.
func (e Entry) Data() []byte { return e.data }

// Time returns when the log took the entry.
func (e Entry) Time() time.Time { return e.time }

// Page is the answer to a read.
type Page struct {
	first   int64
	next    int64
	entries []Entry
}

// NewPage returns a page: first is the oldest offset kept, next the offset of
// the next append.
func NewPage(first, next int64, entries []Entry) Page {
	return Page{first: first, next: next, entries: entries}
}

// First returns the oldest offset the log keeps.
func (p Page) First() int64 { return p.first }

// Next returns the offset that the next append will get.
func (p Page) Next() int64 { return p.next }

// Entries returns the records read, in order.
func (p Page) Entries() []Entry { return p.entries }
