package history

import "fmt"

const (
	// indexBits is the number of low bits of a Position that hold the index of the
	// record within its append.
	indexBits = 12
	// maxRecordsPerAppend is the number of records whose index fits indexBits.
	maxRecordsPerAppend = 1 << indexBits
)

// NoPosition stands for a record whose position in the log is not known.
const NoPosition Position = -1

// withinAppend returns the relative position of the record with the given index in the
// same append. It is used because the offset of an append is not known before the log
// accepts it. Relative positions are negative, from -2 downwards.
func withinAppend(index int) Position { return Position(-2 - index) }

// resolve returns p as an absolute position, where p is the previous position that a
// record at position at holds.
func (p Position) resolve(at Position) Position {
	if p <= withinAppend(0) {
		return NewPosition(at.Offset(), int(-2-p))
	}
	return p
}

// Position locates a record in its stream: the offset of the append that holds it and
// the index of the record within that append. Negative values are NoPosition and the
// relative positions of withinAppend.
type Position int64

// NewPosition returns the position of the record with the given index, from 0, in the
// append at an offset.
func NewPosition(offset int64, index int) Position {
	return Position(offset<<indexBits | int64(index))
}

// Offset returns the offset of the append in the stream.
func (p Position) Offset() int64 { return int64(p) >> indexBits }

// Index returns the index of the record within its append, from 0.
func (p Position) Index() int { return int(p) & (maxRecordsPerAppend - 1) }

// String returns the offset and the index, separated by a dot.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Offset(), p.Index()) }
