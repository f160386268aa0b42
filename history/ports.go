package history

import (
	"context"

	"github.com/lavendervale/lavendervale/fleet"
)

// Log is the append-only log of the platform, made of named streams.
type Log interface {
	// Append adds an entry with data to a stream and returns the offset of the entry. An
	// error of fleet.KindUnknown means that the entry may have been added.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit entries of a stream, starting at offset from. The error
	// is of fleet.KindExpired when that offset has expired; the page then has the
	// oldest retained offset.
	Read(ctx context.Context, stream string, from int64, limit int) (fleet.LogPage, error)
}

// Codec encodes the records of one append and decodes them.
type Codec interface {
	// Encode returns the encoding of the records of one append.
	Encode(records []Record) ([]byte, error)
	// Decode returns the records of one append in their order. A record that can't be
	// decoded is replaced by one of TypeUnknown, so that the others keep their index,
	// and is reported in the error; the other records are returned also with an error.
	Decode(data []byte) ([]Record, error)
}
