package history

import "fmt"

const (
	// indexBits is the width of the place of a record within its append.
	indexBits = 12
	// maxBatch is the most records of one append.
	maxBatch = 1 << indexBits
)

// NoPosition stands for a record that is not known to be in the log.
const NoPosition Position = -1

// withinAppend stands for the index-th record of the same append.
func withinAppend(index int) Position { return Position(-2 - index) }

// resolve returns the position that p stands for in a record at another position.
func (p Position) resolve(at Position) Position {
	if p <= withinAppend(0) {
		return NewPosition(at.Offset(), int(-2-p))
	}
	return p
}

// Position is the place of a record in its stream.
type Position int64

// NewPosition returns the position of the index-th record of an append.
func NewPosition(offset int64, index int) Position {
	return Position(offset<<indexBits | int64(index))
}

// Offset returns the offset of the append.
func (p Position) Offset() int64 { return int64(p) >> indexBits }

// Index returns the place within the append.
func (p Position) Index() int { return int(p) & (maxBatch - 1) }

// String returns offset and index.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Offset(), p.Index()) }
