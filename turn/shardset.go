package turn

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// DefaultLinger is the default of Config.Linger.
	DefaultLinger = 2 * time.Millisecond
	// DefaultLogTimeout is the default of Config.LogTimeout. The platform usually
	// answers within a few milliseconds, and within a few hundred when it is slow.
	DefaultLogTimeout = 700 * time.Millisecond
	// DefaultReadTimeout is the default of Config.ReadTimeout.
	DefaultReadTimeout = 1500 * time.Millisecond
	// DefaultReplicateBeginsAfter is the default of Config.ReplicateBeginsAfter.
	DefaultReplicateBeginsAfter = 80 * time.Millisecond
	// DefaultReplicateEndsAfter is the default of Config.ReplicateEndsAfter.
	DefaultReplicateEndsAfter = time.Second
	// DefaultMaxStaleness is the default of Config.MaxStaleness.
	DefaultMaxStaleness = 10 * time.Second
)

// Config configures a ShardSet. New applies no defaults.
type Config struct {
	// WriterID identifies this run of the process in the log, so that it recognizes
	// its own records. It must be random: two processes may start at the same
	// clock reading.
	WriterID uint64
	// ShardCount is the number of shards of the log, the same for all fronts.
	ShardCount int
	// Log is the platform's log.
	Log Log
	// Replicator holds records on other processes during an outage of the log.
	Replicator Replicator
	// Linger is how long a record that a caller waits for may be delayed to be
	// batched with others.
	Linger time.Duration
	// MinAppendInterval is the minimum time between two appends to a shard. It keeps
	// the appends of all shards together within the write rate of the platform.
	MinAppendInterval time.Duration
	// LogTimeout limits each append to the log, the wait for the reads before and after
	// it, each trimming of a shard, and each replication of records.
	LogTimeout time.Duration
	// MaxRecordBytes is the size of the longest record that the log takes; 0 is no limit.
	MaxRecordBytes int
	// ReadTimeout limits the read of one page of the log. A connection may be silent, so
	// that only another read gets an answer.
	ReadTimeout time.Duration
	// ReplicateBeginsAfter is how long a begin record waits for the log before it is
	// replicated. If the last append failed, it is replicated without this wait.
	ReplicateBeginsAfter time.Duration
	// ReplicateEndsAfter is how long appends must have failed before end records
	// without a turn are replicated.
	ReplicateEndsAfter time.Duration
	// IsHome reports whether this process is the home of a shard. It must be false from the time
	// at which another process may have become the home until MarkForeign or ReleaseLeases returns.
	IsHome func(shard int) bool
	// MaxStaleness is the maximum time since this process last read or appended to the
	// end of a shard for begin records to be replicated instead of logged.
	MaxStaleness time.Duration
	// FindElsewhere returns the conversation up to and including a turn from any shard
	// but one. It may return found = false without an error only when every other shard
	// was read to its end.
	FindElsewhere func(ctx context.Context, turn string, exceptShard int) (text []byte, found bool, err error)
	// FindInMemoryElsewhere returns the conversation up to and including a turn that this or
	// another process has in memory. It reads no shard, so found = false says nothing about the log.
	FindInMemoryElsewhere func(ctx context.Context, turn string) (text []byte, found bool)
	// Logger receives the events of shards.
	Logger *zap.Logger
}

// ShardSet holds the shards of the log that this process serves. Shards are created
// on first use and dropped when idle. It is safe for concurrent use.
type ShardSet struct {
	config   Config
	writerID uint64
	// lastAppendNumber is the number of the last record that this process submitted.
	lastAppendNumber atomic.Uint64
	mu               sync.Mutex
	// shards holds the shards in memory by number, some of them not loaded yet.
	shards map[int]*shard
}

// New returns an empty ShardSet.
func New(c Config) *ShardSet {
	return &ShardSet{config: c, writerID: c.WriterID, shards: map[int]*shard{}}
}

// ShardOf returns the number of the shard that holds a program.
func ShardOf(program string, shardCount int) int {
	return int(xxhash.Sum64String(program) % uint64(shardCount))
}

// shard returns the shard with a number, creating it if needed. It may not be loaded, and is not
// dropped within idleShardTimeout.
func (set *ShardSet) shard(number int) *shard {
	set.mu.Lock()
	defer set.mu.Unlock()
	s, ok := set.shards[number]
	if !ok {
		s = newShard(set, number)
		set.shards[number] = s
	}
	s.touch()
	return s
}

// Load reads a shard from the log unless it is loaded already. It returns an error of
// KindUnavailable when the shard can't be read.
func (set *ShardSet) Load(ctx context.Context, number int) error {
	return set.shard(number).ensureLoaded(ctx, loadForStart)
}
