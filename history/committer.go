package history

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// DefaultStreamCount is the default number of streams that hold the programs.
	DefaultStreamCount = 4
	// DefaultLinger is the default time that an append waits for more records.
	DefaultLinger = 2 * time.Millisecond
	// DefaultAppendRate is the default limit of appends per second, all streams together.
	DefaultAppendRate = 300
	// appendBurst is the number of appends of one stream that may exceed its rate.
	appendBurst = 8
)

// Committer appends the records of programs to the streams of the log, and reads these
// streams to decide which records are valid. All of its state can be rebuilt from the log.
type Committer struct {
	config  CommitterConfig
	streams []*stream
}

// CommitterConfig describes a Committer.
type CommitterConfig struct {
	// Log is the platform's log.
	Log Log
	// Codec encodes and decodes the records of an append.
	Codec Codec
	// StreamPrefix is the start of the names of the streams; a hyphen and the number of
	// the stream, from 0, follow it.
	StreamPrefix string
	// StreamCount is the number of streams, DefaultStreamCount when 0. It must be the
	// same in all processes, because it decides which stream holds a program.
	StreamCount int
	// Linger is the time that an append waits for more records, DefaultLinger when 0.
	Linger time.Duration
	// AppendRate is the largest number of appends per second, all streams together,
	// DefaultAppendRate when 0. Each stream gets an equal part of it, so that the
	// processes that append to different streams keep the limit without coordination.
	AppendRate float64
}

// Stats holds counters of a committer since its start, and the current values of Programs
// and Waiting.
type Stats struct {
	// Appends is the number of appends that the log acknowledged.
	Appends int64
	// Records is the number of records in those appends.
	Records int64
	// Bytes is the size of those appends as encoded.
	Bytes int64
	// Superseded is the number of this committer's records that another record of the
	// same program superseded.
	Superseded int64
	// Retries is the number of appends that failed or got no answer.
	Retries int64
	// Corrupt is the number of log entries with content that could not be decoded.
	Corrupt int64
	// Programs is the number of programs with a record in the streams, as far as they
	// have been read.
	Programs int
	// Waiting is the number of records queued or not yet read back from the log.
	Waiting int
}

// NewCommitter returns a committer. Records are appended only while Run is running.
func NewCommitter(c CommitterConfig) *Committer {
	if c.StreamCount == 0 {
		c.StreamCount = DefaultStreamCount
	}
	if c.Linger == 0 {
		c.Linger = DefaultLinger
	}
	if c.AppendRate == 0 {
		c.AppendRate = DefaultAppendRate
	}
	committer := &Committer{config: c}
	for i := range c.StreamCount {
		committer.streams = append(committer.streams, newStream(c, fmt.Sprintf("%s-%d", c.StreamPrefix, i)))
	}
	return committer
}

// Run appends the records passed to Commit until ctx ends.
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

// Commit appends a record and returns its position once the record has been read back as
// valid. The error is of KindSuperseded when the record never becomes valid, of
// KindCorrupt when it can't be encoded, and of KindUnknown when ctx ended first: the
// record may still become valid then.
func (c *Committer) Commit(ctx context.Context, r Record) (Position, error) {
	return c.stream(r.Program()).commit(ctx, r)
}

// Load rebuilds the state of a program from the log. The error is of KindNotFound when the
// log holds no record of the program, of KindUnavailable when the log can't be read, and
// of KindCorrupt when the records can't be decoded or applied, or are incomplete.
func (c *Committer) Load(ctx context.Context, id program.ID) (*LoadedProgram, error) {
	return c.stream(id).load(ctx, id)
}

// StreamCount returns the number of streams.
func (c *Committer) StreamCount() int { return len(c.streams) }

// Locate returns the latest record of a program. The error is of KindNotFound when the log
// holds no record of the program, of KindUnavailable when the log can't be read.
func (c *Committer) Locate(ctx context.Context, id program.ID) (LatestRecord, error) {
	return c.stream(id).locate(ctx, id)
}

// LoadFrom rebuilds the state of a program whose latest record is known. The error is of
// KindUnavailable or KindCorrupt, as for Load.
func (c *Committer) LoadFrom(ctx context.Context, id program.ID, latest LatestRecord) (*LoadedProgram, error) {
	return c.stream(id).loadFrom(ctx, latest)
}

// Stats returns the sums of the counters of all streams.
func (c *Committer) Stats() Stats {
	var sum Stats
	for _, s := range c.streams {
		sum = sum.add(s.currentStats())
	}
	return sum
}

func (c *Committer) stream(id program.ID) *stream {
	return c.streams[StreamOf(id, len(c.streams))]
}

// StreamOf returns the number, from 0, of the stream that holds the records of a program
// when there are streamCount streams.
func StreamOf(id program.ID, streamCount int) int {
	return int(binary.LittleEndian.Uint64(id[:8]) % uint64(streamCount))
}

func (s Stats) add(other Stats) Stats {
	s.Appends += other.Appends
	s.Records += other.Records
	s.Bytes += other.Bytes
	s.Superseded += other.Superseded
	s.Retries += other.Retries
	s.Corrupt += other.Corrupt
	s.Programs += other.Programs
	s.Waiting += other.Waiting
	return s
}
