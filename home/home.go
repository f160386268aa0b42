package home

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/schedule"
)

const (
	// DefaultSlots is the number of concurrent calls to the engine at the
	// start, when Config.Slots is 0.
	DefaultSlots = 16
	// startCommitTimeout bounds the wait for the first record of a program that
	// was started or taken over here. When it expires, a start proceeds and a
	// takeover fails.
	startCommitTimeout = 2 * time.Second
	// turnCommitTimeout bounds the wait for the record of an answer or of the
	// end of a program. When it expires, the caller gets its result anyway and
	// the handle carries the record.
	turnCommitTimeout = 100 * time.Millisecond
	// claimCommitTimeout bounds the wait for the claim of an order, which must
	// be in the journal before the order is sent.
	claimCommitTimeout = 5 * time.Second
	// refusalCommitTimeout bounds the wait for the record that an order did not
	// run. When it expires, the order is reported as in doubt.
	refusalCommitTimeout = 2 * time.Second
	// engineIdleTimeout is the interval at which a model call is checked for
	// new text; a call without any in a whole interval is stopped. It is longer
	// than the prefill of a prompt of 270,000 tokens.
	engineIdleTimeout = 30 * time.Second
	// predecessorTimeout bounds the wait of a call for progress on the calls
	// before it.
	predecessorTimeout = 30 * time.Second
	// turnsPerSnapshot is the number of turns after which an idle program gets
	// a snapshot, so that loading it takes few reads.
	turnsPerSnapshot = 16
	// maxSnapshotAge is the age of the latest snapshot at which an idle program
	// gets the next one. The log must retain records for longer than twice this
	// time.
	maxSnapshotAge = 6 * time.Hour
	// endedRetention is how long an ended program stays in memory after its
	// last use, to answer repeated requests.
	endedRetention = time.Minute
	// idleRetention is how long an active program without calls stays in memory
	// after its last use.
	idleRetention = 15 * time.Minute
	// cleanupInterval is the time between two searches for programs to snapshot
	// or to drop from memory.
	cleanupInterval = 5 * time.Second
)

// Home owns programs and runs their calls on one engine. Its methods may be
// called concurrently.
type Home struct {
	config Config
	// shards holds the programs in memory, spread by program ID.
	shards    [shardCount]shard
	scheduler *scheduler
	// leaving is set between Leave and CancelLeave.
	leaving atomic.Bool
	metrics metrics
	prefill prefillEstimator
	// goroutines counts the home's own goroutines, for which Close waits.
	goroutines goroutineGroup
	// ctx covers all calls and commits of the home; Close cancels it.
	ctx    context.Context
	cancel context.CancelFunc
}

// Config configures a Home. Engine, Journal, Services and Configurations are
// required.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Incarnation distinguishes this process from earlier ones of the same name.
	Incarnation uint64
	// Engine is the model engine that this home schedules.
	Engine Engine
	// Journal stores the records of programs.
	Journal Journal
	// Codec encodes the records that a handle carries until they are in the
	// journal. With nil, handles carry no records.
	Codec Codec
	// Crashes tracks the requests that have crashed engines. With nil, no
	// request is quarantined.
	Crashes CrashTracker
	// Services sends service calls and orders.
	Services ServiceClient
	// Configurations supplies the configuration in force.
	Configurations ConfigurationSource
	// Slots is the number of concurrent calls to the engine at the start,
	// DefaultSlots when 0. The scheduler adjusts it later.
	Slots int
	// CacheTokens is the size of the engine's prompt cache in tokens, 0 when
	// unknown.
	CacheTokens int64
	// Logger receives the log lines of the home; nil discards them.
	Logger *zap.Logger
}

// New returns a home that owns no programs and starts its background cleanup.
// The home must be closed with Close.
func New(c Config) *Home {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		config: c, ctx: ctx, cancel: cancel,
		scheduler: newScheduler(schedule.Config{
			Classes: c.Configurations.Current().Classes(), InitialSlots: c.Slots, CacheTokens: c.CacheTokens,
		}),
	}
	for i := range h.shards {
		h.shards[i].residents = map[program.ID]*residentProgram{}
	}
	h.goroutines.spawn(h.runCleanup)
	return h
}

// Name returns the name of the instance.
func (h *Home) Name() string { return h.config.Name }

// Leave makes the home refuse new programs, takeovers and new calls. Running
// calls continue.
func (h *Home) Leave() { h.leaving.Store(true) }

// CancelLeave undoes Leave.
func (h *Home) CancelLeave() { h.leaving.Store(false) }

// Leaving reports whether the home accepts no new work, because of Leave or
// because the configuration drains this instance.
func (h *Home) Leaving() bool {
	return h.leaving.Load() || h.config.Configurations.Current().Draining(h.config.Name)
}

// Reconfigure applies the classes of the configuration in force to the
// scheduler.
func (h *Home) Reconfigure() {
	h.scheduler.reconfigure(h.config.Configurations.Current().Classes())
}

// Close stops all calls and commits and waits for the home's goroutines to end.
func (h *Home) Close() {
	h.goroutines.close()
	h.cancel()
	h.goroutines.wait()
}

// runCleanup runs removeExpired periodically until the home is closed.
func (h *Home) runCleanup() {
	t := time.NewTicker(cleanupInterval)
	defer t.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case now := <-t.C:
			h.removeExpired(now)
		}
	}
}

// removeExpired writes the snapshots that are due and drops programs from
// memory that have not been used for their retention time; the journal still
// holds them. A program with uncommitted records stays until a later run.
func (h *Home) removeExpired(now time.Time) {
	h.forEach(func(r *residentProgram) {
		retention := idleRetention
		if r.program.State() != program.Active {
			retention = endedRetention
		}
		h.snapshotIfDueLocked(r, now)
		idle := now.Sub(r.lastUsedAt) > retention
		if idle {
			h.snapshotIfChangedLocked(r, now)
		}
		busy := r.program.HasRunningCall() || len(r.pendingRecords) > 0
		if !busy && idle {
			delete(r.shard.residents, r.id)
			r.notifyLocked()
			h.scheduler.endProgram(r.id, false)
		}
	})
}

// classOrFallback returns the published class of a name. A program whose class
// is no longer published continues at background rank with a target of one
// hour.
func (h *Home) classOrFallback(name string) *class.Class {
	if c, ok := h.config.Configurations.Current().Class(name); ok {
		return c
	}
	c, err := class.New(class.Config{Name: name, Rank: class.Background, Target: time.Hour, Worth: 1, Budget: 1})
	if err != nil {
		h.config.Logger.Error("can't build the fallback class of a program", zap.Error(err))
	}
	return c
}

// Idle reports whether no call is running and every record is in the journal.
func (h *Home) Idle() bool {
	idle := true
	h.forEach(func(r *residentProgram) {
		if r.program.HasRunningCall() || len(r.pendingRecords) > 0 {
			idle = false
		}
	})
	return idle
}
