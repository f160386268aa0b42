package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/placement"
)

// Entry serves callers: it starts programs on endpoints and routes calls to their homes.
// Its methods may be called concurrently.
type Entry struct {
	config  Config
	members *membership.Table
	status  *statusCounters
	metrics metrics
	retries *retryBudget
	// leaving is set once the entry refuses new programs.
	leaving atomic.Bool
	// goroutines counts the goroutines that Run waits for.
	goroutines sync.WaitGroup
	// mu guards the fields below.
	mu     sync.Mutex
	random *rand.Rand
	// loads holds the last reported load of each endpoint and the work placed since.
	loads *placement.Table
	// knownVersionsByInstance holds the versions that each instance last reported; an
	// instance whose last heartbeat failed has no element.
	knownVersionsByInstance map[string]knownVersions
	// watched names the instances that this entry sends heartbeats to and places programs
	// on, computed from watchedVersion of the members; nil before the first computation.
	watched        []string
	watchedVersion uint64
	// broadcast is the last built broadcast, nil before the first.
	broadcast *broadcast
}

// Config holds the settings and dependencies of an Entry.
type Config struct {
	// Name is the name of this instance.
	Name string
	// HomeClient sends requests to the homes of programs.
	HomeClient HomeClient
	// Sealer converts handles to tokens for callers and back.
	Sealer Sealer
	// Log is the platform's log, which configurations are published on.
	Log Log
	// InstanceLister reads the platform's list of instances.
	InstanceLister InstanceLister
	// PublicationCodec encodes and decodes publications in the log.
	PublicationCodec PublicationCodec
	// Configurations holds the configuration in force.
	Configurations *configuration.Store
	// Members holds the known instances and their states.
	Members *membership.Table
	// StreamCount is the number of streams of the journal, each of which gets a committer.
	StreamCount int
	// HeartbeatInterval is the time between two heartbeats to an instance;
	// 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// Logger receives the log lines of the entry; nil discards them.
	Logger *zap.Logger
}

const (
	// DefaultHeartbeatInterval is the default of Config.HeartbeatInterval.
	DefaultHeartbeatInterval = 500 * time.Millisecond
)

// New returns an entry. It learns of instances and configurations only while Run runs.
func New(c Config) *Entry {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Entry{
		config: c, members: c.Members, status: newStatusCounters(), retries: newRetryBudget(), knownVersionsByInstance: map[string]knownVersions{}, loads: placement.NewTable(),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)),
	}
}

// Run reads the instance list and the configuration stream and sends heartbeats until ctx
// ends. It returns after all its goroutines have ended.
func (e *Entry) Run(ctx context.Context) {
	for _, loop := range []func(context.Context){e.pollInstances, e.pollConfiguration, e.sendHeartbeats} {
		e.goroutines.Add(1)
		go func() {
			defer e.goroutines.Done()
			loop(ctx)
		}()
	}
	e.goroutines.Wait()
}

// Leave makes the entry refuse new programs with program.KindLeaving. It still serves the
// calls of programs that have started.
func (e *Entry) Leave() { e.leaving.Store(true) }

// Name returns the name of the instance.
func (e *Entry) Name() string { return e.config.Name }

// Members returns the known instances with their current states, ordered by name.
func (e *Entry) Members() []membership.Member { return e.members.Members(time.Now()) }
