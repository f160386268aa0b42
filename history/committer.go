package history

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// DefaultStreams is the number of streams the programs are spread over.
	DefaultStreams = 4
	// DefaultLinger is the longest wait for more records before an append.
	DefaultLinger = 2 * time.Millisecond
	// DefaultAppendRate is the most appends a second, of all streams together.
	DefaultAppendRate = 300
	// appendBurst is the number of appends of a stream that need not wait.
	appendBurst = 8
)

// Committer appends the records of programs and follows their streams; it
// keeps no state that the log does not hold.
type Committer struct {
	config  CommitterConfig
	streams []*stream
}

// CommitterConfig describes a Committer.
type CommitterConfig struct {
	// Log is the platform's log.
	Log Log
	// Codec turns records into bytes.
	Codec Codec
	// Prefix starts the names of the streams.
	Prefix string
	// Streams is the number of streams, DefaultStreams when 0.
	Streams int
	// Linger is the longest wait for more records, DefaultLinger when 0.
	Linger time.Duration
	// AppendRate is the most appends a second, of all streams together,
	// DefaultAppendRate when 0. Each stream has its part of it, so that the
	// committers of all streams keep it without talking to each other.
	AppendRate float64
}

// Stats counts what a committer has done.
type Stats struct {
	// Appends counts appends that the log took.
	Appends int64
	// Records counts records in those appends.
	Records int64
	// Bytes counts the bytes of those appends.
	Bytes int64
	// Superseded counts records that lost to another writer.
	Superseded int64
	// Retries counts appends that were sent again.
	Retries int64
	// Corrupt counts records that could not be read.
	Corrupt int64
	// Programs is the number of programs known.
	Programs int
	// Waiting is the number of records not yet in the log.
	Waiting int
}

// NewCommitter returns a committer; Run must be called for it to work.
func NewCommitter(c CommitterConfig) *Committer {
	if c.Streams == 0 {
		c.Streams = DefaultStreams
	}
	if c.Linger == 0 {
		c.Linger = DefaultLinger
	}
	if c.AppendRate == 0 {
		c.AppendRate = DefaultAppendRate
	}
	committer := &Committer{config: c}
	for i := range c.Streams {
		committer.streams = append(committer.streams, newStream(c, fmt.Sprintf("%s-%d", c.Prefix, i)))
	}
	return committer
}

// Run appends and follows until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	done := make(chan struct{})
	for _, s := range c.streams {
		go func() {
			s.run(ctx)
			done <- struct{}{}
		}()
	}
	for range c.streams {
		<-done
	}
}

// Commit appends a record and returns its position once it stands validly in
// the log; an error of KindSuperseded means that it never will.
func (c *Committer) Commit(ctx context.Context, r Record) (Position, error) {
	return c.stream(r.Program()).commit(ctx, r)
}

// Load reads the state of a program from the log.
func (c *Committer) Load(ctx context.Context, id program.ID) (*Loaded, error) {
	return c.stream(id).load(ctx, id)
}

// Streams returns the number of streams.
func (c *Committer) Streams() int { return len(c.streams) }

// Locate returns the latest record of a program, or an error of KindNotFound.
func (c *Committer) Locate(ctx context.Context, id program.ID) (Tail, error) {
	return c.stream(id).locate(ctx, id)
}

// LoadFrom reads the state of a program whose latest record is known.
func (c *Committer) LoadFrom(ctx context.Context, id program.ID, t Tail) (*Loaded, error) {
	return c.stream(id).loadFrom(ctx, t)
}

// Stats returns the sums over all streams.
func (c *Committer) Stats() Stats {
	var sum Stats
	for _, s := range c.streams {
		sum = sum.add(s.snapshotStats())
	}
	return sum
}

func (c *Committer) stream(id program.ID) *stream {
	return c.streams[StreamOf(id, len(c.streams))]
}

// StreamOf returns which of n streams holds the records of a program.
func StreamOf(id program.ID, n int) int {
	return int(binary.LittleEndian.Uint64(id[:8]) % uint64(n))
}

func (s Stats) add(o Stats) Stats {
	s.Appends += o.Appends
	s.Records += o.Records
	s.Bytes += o.Bytes
	s.Superseded += o.Superseded
	s.Retries += o.Retries
	s.Corrupt += o.Corrupt
	s.Programs += o.Programs
	s.Waiting += o.Waiting
	return s
}
