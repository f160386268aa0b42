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
	// DefaultLinger is how long a record waits for others of its shard.
	DefaultLinger = 2 * time.Millisecond
	// DefaultTimeout bounds one call of the log; the platform answers in a few
	// milliseconds, in a few hundred when it is slow.
	DefaultTimeout = 700 * time.Millisecond
	// DefaultKeepAfter is how long the log may fail before records are copied to
	// other instances.
	DefaultKeepAfter = 80 * time.Millisecond
	// DefaultOutageAfter is how long the log must have failed before the end of a
	// turn rests on copies.
	DefaultOutageAfter = time.Second
	// DefaultIncumbency is how long before an outage a shard must have been read or
	// written to its end to go on without the log.
	DefaultIncumbency = 10 * time.Second
)

// Config describes Homes.
type Config struct {
	// Writer is a random number of this life of the process: by it a process tells its
	// own records in the log from those of others, so a clock won't do.
	Writer uint64
	// Shards is the number of shards of the log.
	Shards int
	// Log is the platform's log.
	Log Log
	// Keeper holds records during an outage of the log.
	Keeper Keeper
	// Linger is how long a record waits for others.
	Linger time.Duration
	// Gap is the least time between two appends of a shard, which keeps all shards
	// within the rate of the log.
	Gap time.Duration
	// Timeout bounds one call of the log.
	Timeout time.Duration
	// KeepAfter is how long the log may fail before records are copied.
	KeepAfter time.Duration
	// OutageAfter is how long the log must have failed before an end rests on copies.
	OutageAfter time.Duration
	// Home reports whether a shard belongs to this instance.
	Home func(shard int) bool
	// Incumbency is how fresh a shard must be to go on without the log.
	Incumbency time.Duration
	// Find asks all other shards for a conversation: found is false only when
	// every shard is known to its end.
	Find func(ctx context.Context, turn string, besides int) (text []byte, found bool, err error)
	// Logger takes what happens to shards.
	Logger *zap.Logger
}

// Homes holds the shards that this instance is asked for.
type Homes struct {
	config Config
	writer uint64
	number atomic.Uint64
	mu     sync.Mutex
	shards map[int]*shard
}

// New returns homes without a shard.
func New(c Config) *Homes {
	return &Homes{config: c, writer: c.Writer, shards: map[int]*shard{}}
}

// ShardOf returns the shard of a program.
func ShardOf(program string, shards int) int {
	return int(xxhash.Sum64String(program) % uint64(shards))
}

func (h *Homes) shard(n int) *shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.shards[n]
	if !ok {
		s = newShard(h, n)
		h.shards[n] = s
	}
	return s
}

// Load reads a shard unless it is loaded.
func (h *Homes) Load(ctx context.Context, n int) error { return h.shard(n).load(ctx) }
