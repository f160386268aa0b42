package schedule

import (
	"time"

	"github.com/lavendervale/lavendervale/admission"
	"github.com/lavendervale/lavendervale/cache"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/queue"
)

const (
	// DefaultInterTokenTarget is the mean time between generated tokens that the
	// adaptive limit on running calls keeps the engine below. A mean of 24 ms keeps 95
	// in 100 below 28 ms.
	DefaultInterTokenTarget = 24 * time.Millisecond
	// minSlots and maxSlots bound the limit on running calls.
	minSlots = 4
	maxSlots = 512
	// outputWeight is the cost of generating a token, in prompt tokens.
	outputWeight = 4
	// runningMemoryShare is the share of the engine's prompt cache that running
	// calls may hold.
	runningMemoryShare = 0.8
	// maxLatencyAge is how long the inter-token latency is reported after the last
	// observation.
	maxLatencyAge = 10 * time.Second
)

// Schedule is the scheduler of one endpoint. It is not safe for concurrent use and
// reads no clock: its owner serializes access and passes the current time.
type Schedule struct {
	config     Config
	limit      *queue.Limit
	slots      *queue.Slots[*Ticket]
	admission  *admission.Controller
	cacheIndex *cache.Index
	floors     queue.Floors
	// statsByClass is keyed by the name of the class.
	statsByClass map[string]*classStats
	// programs holds the registered programs.
	programs map[program.ID]*programState
	// contextTokens is the sum of the contextTokens of the registered programs, by rank.
	contextTokens [class.Ranks]int64
	// latencyObservedAt is when a call last completed.
	latencyObservedAt time.Time
}

// Config holds the settings of a Schedule.
type Config struct {
	// Classes are the classes in force; the floors are derived from them.
	Classes []*class.Class
	// InitialSlots is the number of calls that run at once at the start; the
	// adaptive limit changes it.
	InitialSlots int
	// InterTokenTarget is the mean time between generated tokens that the adaptive
	// limit keeps the engine below; 0 stands for DefaultInterTokenTarget.
	InterTokenTarget time.Duration
	// CacheTokens is the size of the engine's prompt cache, in tokens; 0 means that
	// it is unknown and bounds nothing.
	CacheTokens int64
	// Policy turns scheduling mechanisms off.
	Policy Policy
}

// New returns a schedule without programs.
func New(c Config) *Schedule {
	if c.InterTokenTarget == 0 {
		c.InterTokenTarget = DefaultInterTokenTarget
	}
	target := c.InterTokenTarget
	if c.Policy.NoAdaptiveLimit {
		target = 0
	}
	s := &Schedule{
		config: c, admission: admission.New(), cacheIndex: cache.New(), statsByClass: map[string]*classStats{},
		programs: map[program.ID]*programState{},
		limit:    queue.NewLimit(queue.LimitConfig{Initial: c.InitialSlots, Min: minSlots, Max: maxSlots, InterTokenTarget: target}),
	}
	s.slots = queue.NewSlots[*Ticket](queue.SlotsConfig{Limit: s.limit, ReserveUrgent: !c.Policy.NoReserve, MemoryLimitTokens: int64(runningMemoryShare * float64(c.CacheTokens))})
	s.Reconfigure(c.Classes)
	return s
}

// Reconfigure computes the floors from the classes now in force. It affects
// decisions from now on.
func (s *Schedule) Reconfigure(classes []*class.Class) {
	s.floors = queue.NewFloors(classes)
	if s.config.Policy.NoFloor {
		s.floors = queue.NoFloors()
	}
	s.slots.Queue().SetFloors(s.floors)
}

// statsOf returns the statistics of the class with c's name, new ones when there
// are none.
func (s *Schedule) statsOf(c *class.Class) *classStats {
	stats, ok := s.statsByClass[c.Name()]
	if !ok {
		stats = newClassStats()
		s.statsByClass[c.Name()] = stats
	}
	return stats
}

// Admit decides whether a new program may start, and registers it if so.
func (s *Schedule) Admit(id program.ID, c *class.Class, now time.Time) admission.Decision {
	stats := s.statsOf(c)
	meanService, hasEstimate := stats.service.Mean()
	decision := s.admission.Decide(admission.Request{
		Rank: c.Rank(), Target: c.Target(), MeanService: meanService, HasEstimate: hasEstimate, MeanPauses: stats.meanPauses,
		Slots: s.limit.Value(), FloorShare: s.floorShareFor(c.Rank()), Slowdown: s.slowdown(stats),
		MeanContextTokens: int64(stats.meanContextTokens), ContextTokens: s.contextTokens, CacheTokens: s.config.CacheTokens,
	}, now)
	if decision.Admitted() || s.config.Policy.NoAdmission {
		s.Register(id, c, now, 0, now)
		s.programs[id].predictedLatency = decision.PredictedLatency()
	}
	return decision
}

// slowdown returns how much longer service takes at the target inter-token latency
// than it took in the calls that the service estimate was learned from; at least 1.
func (s *Schedule) slowdown(stats *classStats) float64 {
	if stats.interTokenLatency == 0 {
		return 1
	}
	return max(1, float64(s.config.InterTokenTarget)/float64(stats.interTokenLatency))
}

// floorShareFor returns the floor that bears on admission to a rank. For urgent work
// it is the share that background programs take from it, 0 when there are none; for
// background work it is its own share.
func (s *Schedule) floorShareFor(rank class.Rank) float64 {
	if rank != class.Urgent {
		return s.floors.Share(rank)
	}
	if s.admission.Programs(class.Background) == 0 {
		return 0
	}
	return s.floors.Share(class.Background)
}

// Register adds a program without an admission decision, such as one taken over
// from another home; attainedService is the service that it has had. It does
// nothing when the program is already registered.
func (s *Schedule) Register(id program.ID, c *class.Class, startedAt time.Time, attainedService time.Duration, now time.Time) {
	if _, ok := s.programs[id]; ok {
		return
	}
	remaining, _ := s.statsOf(c).service.Remaining(attainedService)
	stats := s.statsOf(c)
	state := &programState{class: c, startedAt: startedAt, attainedService: attainedService, idleSince: now, remainingService: remaining, contextTokens: int64(stats.meanContextTokens)}
	s.contextTokens[c.Rank()] += state.contextTokens
	s.programs[id] = state
	s.admission.AddProgram(c.Rank(), remaining)
}

// Registered reports whether a program is registered.
func (s *Schedule) Registered(id program.ID) bool {
	_, ok := s.programs[id]
	return ok
}

// Completion is the result of an answered call, as the engine reports it.
type Completion struct {
	// PromptTokens counts the tokens of the whole prompt.
	PromptTokens int64
	// CachedTokens counts the prompt tokens that the engine found in its cache.
	CachedTokens int64
	// OutputTokens counts the generated tokens.
	OutputTokens int64
	// InterTokenLatency is the mean time between generated tokens; 0 means unknown.
	InterTokenLatency time.Duration
}

// setContextTokens records how many tokens of a program's context the engine holds.
func (s *Schedule) setContextTokens(state *programState, contextTokens int64) {
	s.contextTokens[state.class.Rank()] += contextTokens - state.contextTokens
	state.contextTokens = contextTokens
}

// ExpireCaches forgets the programs whose cache lease has ended and returns them, so
// that the caller can evict them from the engine.
func (s *Schedule) ExpireCaches(now time.Time) []program.ID { return s.cacheIndex.Expire(now) }

// Unregister removes a program that has ended. Only when finished is set, that is when
// the program ran to its end, are the estimates updated with its service and latency.
func (s *Schedule) Unregister(id program.ID, finished bool, now time.Time) {
	state, ok := s.programs[id]
	if !ok {
		return
	}
	delete(s.programs, id)
	s.cacheIndex.Remove(id)
	s.contextTokens[state.class.Rank()] -= state.contextTokens
	s.admission.RemoveProgram(state.class.Rank(), state.remainingService)
	if finished {
		s.statsOf(state.class).observeProgram(state)
		s.admission.ObserveLatency(state.class.Rank(), state.predictedLatency, now.Sub(state.startedAt))
	}
}
