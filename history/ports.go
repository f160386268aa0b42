package history

import (
	"context"

	"github.com/lavendervale/lavendervale/fleet"
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds data to a stream and returns its offset; an error of
	// fleet.KindUnknown means that it may have been added.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit entries from an offset on.
	Read(ctx context.Context, stream string, from int64, limit int) (fleet.LogPage, error)
}

// Codec turns records into bytes and back.
type Codec interface {
	// Encode returns the bytes of one append.
	Encode(records []Record) ([]byte, error)
	// Decode returns the records of one append; corrupt ones are left out and
	// named in the error, their places taken by records of StepUnknown.
	Decode(data []byte) ([]Record, error)
}
