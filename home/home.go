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
	// DefaultSlots is the number of calls an engine gets at once.
	DefaultSlots = 16
	// startCommitWait bounds the wait for the record of a new program.
	startCommitWait = 2 * time.Second
	// turnCommitWait bounds the wait for the record of an answered call.
	turnCommitWait = 100 * time.Millisecond
	// claimCommitWait bounds the wait for the claim of an order.
	claimCommitWait = 5 * time.Second
	// refusalCommitWait bounds the wait for the proof that an order did not run.
	refusalCommitWait = 2 * time.Second
	// engineSilence is how long an engine may send nothing; reading a prompt of
	// 270,000 tokens takes less.
	engineSilence = 30 * time.Second
	// aheadWait bounds the wait of a call for its predecessor.
	aheadWait = 30 * time.Second
	// snapshotTurns is the number of turns after which a program at rest is
	// written whole, so that it can be read back with few reads.
	snapshotTurns = 16
	// snapshotAge is the age of the last whole record at which the next is
	// written; the log must keep records for longer than twice that.
	snapshotAge = 6 * time.Hour
	// keepEnded is how long an ended program stays, for repeats.
	keepEnded = time.Minute
	// keepIdle is how long a program at rest stays in memory.
	keepIdle = 15 * time.Minute
	// janitorInterval is the time between two searches for programs to forget.
	janitorInterval = 5 * time.Second
)

// Home runs the programs beside one engine.
type Home struct {
	config    Config
	shards    [shardCount]shard
	scheduler *scheduler
	leaving   atomic.Bool
	metrics   metrics
	prefill   prefill
	work      work
	ctx       context.Context
	cancel    context.CancelFunc
}

// Config describes a Home.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Incarnation is the life of this process.
	Incarnation uint64
	// Engine is the engine beside the home.
	Engine Engine
	// Journal keeps the records of programs.
	Journal Journal
	// Codec encodes the records that a handle carries while the journal does not
	// take them; nil carries none.
	Codec Codec
	// Crashes keeps the requests that have crashed engines, nil to run all.
	Crashes Crashes
	// Services reaches the processes beside plain services.
	Services Services
	// Configurations gives the configuration in force.
	Configurations Configurations
	// Slots is the number of calls the engine gets at once to start with,
	// DefaultSlots when 0.
	Slots int
	// Memory is the size of the engine's prompt cache, in tokens; 0 is unknown.
	Memory int64
	// Log takes what the home reports.
	Log *zap.Logger
}

// Result is what a call ends with.
type Result struct {
	handle   program.Handle
	answer   program.Answer
	left     int64
	replayed bool
}

// NewResult returns a Result; left is the budget left, in tokens.
func NewResult(h program.Handle, a program.Answer, left int64, replayed bool) Result {
	return Result{handle: h, answer: a, left: left, replayed: replayed}
}

// Handle returns the handle for the next call.
func (r Result) Handle() program.Handle { return r.handle }

// Answer returns the whole answer.
func (r Result) Answer() program.Answer { return r.answer }

// BudgetLeft returns the tokens the program may still spend.
func (r Result) BudgetLeft() int64 { return r.left }

// Replayed reports whether the answer was kept from an earlier run.
func (r Result) Replayed() bool { return r.replayed }

// New returns a home without programs; Close ends it.
func New(c Config) *Home {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		config: c, ctx: ctx, cancel: cancel,
		scheduler: newScheduler(schedule.Config{
			Classes: c.Configurations.Current().Classes(), Slots: c.Slots, Memory: c.Memory,
		}),
	}
	for i := range h.shards {
		h.shards[i].residents = map[program.ID]*resident{}
	}
	h.work.spawn(h.clean)
	return h
}

// Name returns the name of the instance.
func (h *Home) Name() string { return h.config.Name }

// Leave makes the home refuse new programs.
func (h *Home) Leave() { h.leaving.Store(true) }

// Return makes the home take new programs again.
func (h *Home) Return() { h.leaving.Store(false) }

// Leaving reports whether the home refuses new programs.
func (h *Home) Leaving() bool {
	return h.leaving.Load() || h.config.Configurations.Current().Draining(h.config.Name)
}

// Reconfigure takes over what the configuration in force changes.
func (h *Home) Reconfigure() {
	h.scheduler.reconfigure(h.config.Configurations.Current().Classes())
}

// Close stops all calls and waits for the home's own work to end.
func (h *Home) Close() {
	h.work.close()
	h.cancel()
	h.work.wait()
}

// clean forgets ended and idle programs until the home closes.
func (h *Home) clean() {
	t := time.NewTicker(janitorInterval)
	defer t.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case now := <-t.C:
			h.expire(now)
		}
	}
}

// expire forgets programs that ended or have been at rest for long; the
// journal holds them.
func (h *Home) expire(now time.Time) {
	h.each(func(r *resident) {
		keep := keepIdle
		if r.program.State() != program.Active {
			keep = keepEnded
		}
		h.snapshotLocked(r, now)
		idle := now.Sub(r.touched) > keep
		if idle {
			h.wholeLocked(r, now)
		}
		busy := r.program.HasRunningCall() || len(r.outbox) > 0
		if !busy && idle {
			delete(r.shard.residents, r.program.ID())
			r.notifyLocked()
			h.scheduler.end(r.program.ID(), false)
		}
	})
}

// classOf returns the class with a name; a program whose class is no longer
// published goes on in the background.
func (h *Home) classOf(name string) *class.Class {
	if c, ok := h.config.Configurations.Current().Class(name); ok {
		return c
	}
	c, err := class.New(class.Config{Name: name, Rank: class.Background, Target: time.Hour, Worth: 1, Budget: 1})
	if err != nil {
		h.config.Log.Error("class without a name", zap.Error(err))
	}
	return c
}

// Quiet reports whether no call is under way and no record is unwritten.
func (h *Home) Quiet() bool {
	quiet := true
	h.each(func(r *resident) {
		if r.program.HasRunningCall() || len(r.outbox) > 0 {
			quiet = false
		}
	})
	return quiet
}
