package turn

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
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
	// idleShard is how long a shard is kept without requests.
	idleShard = 60 * time.Second
	// maintainInterval is the time between two rounds of expiry and trimming.
	maintainInterval = 5 * time.Second
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

// opened is an attempt that fits as far as this instance knows.
type opened struct {
	text     []byte
	endpoint string
	op       *operation
}

// Text returns the conversation that the turn continues.
func (o *opened) Text() []byte { return o.text }

// Endpoint returns the endpoint that served the session last.
func (o *opened) Endpoint() string { return o.endpoint }

// Wait returns when the attempt is durable.
func (o *opened) Wait(ctx context.Context) error {
	if o.op == nil {
		return nil
	}
	return o.op.wait(ctx)
}

// Begin admits an attempt of a turn. Its errors are of KindBudget, KindNotFound,
// or KindUnavailable when the state is not known.
func (h *Homes) Begin(ctx context.Context, r BeginRequest) (Ticket, error) {
	s := h.shard(ShardOf(r.Program, h.config.Shards))
	if err := s.load(ctx); err != nil {
		return nil, err
	}
	out := &opened{}
	if r.Previous != "" {
		text, err := s.conversation(ctx, r)
		if err != nil {
			return nil, err
		}
		out.text = text
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.endpoint = s.sessions[r.Session]
	if r.Budget <= 0 {
		return out, nil
	}
	if out.op = s.beginning(r.Attempt); out.op != nil {
		return out, nil
	}
	if taken := s.taken(r.Program, r.Attempt); taken+r.Tokens > r.Budget {
		return nil, Errorf("begin turn", KindBudget, "budget of %d tokens does not hold %d more, %d are spent or set aside", r.Budget, r.Tokens, taken)
	}
	out.op = &operation{
		program: r.Program, tokens: r.Tokens, budget: r.Budget,
		record: &turnpb.Record{Body: &turnpb.Record_Begin{Begin: &turnpb.Begin{Program: r.Program, Attempt: r.Attempt, Tokens: r.Tokens}}},
	}
	s.submit(out.op)
	return out, nil
}

// beginning returns the pending operation that sets tokens aside for an attempt,
// which a front that got no answer may ask for again; mu is held.
func (s *shard) beginning(attempt string) *operation {
	for _, op := range s.pending {
		if op.record.GetBegin().GetAttempt() == attempt {
			return op
		}
	}
	return nil
}

// conversation returns the text up to a turn, from this shard or any other.
func (s *shard) conversation(ctx context.Context, r BeginRequest) ([]byte, error) {
	text, ok, err := s.find(ctx, r.Previous)
	if ok {
		return text, nil
	}
	if err != nil {
		return nil, err
	}
	text, ok, err = s.homes.config.Find(ctx, r.Previous, s.number)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, Errorf("continue turn", KindNotFound, "turn %s is in none of the shards, all read to their end", r.Previous)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.foreign[r.Attempt] = text
	return text, nil
}

// find looks for a turn, if need be after reading the shard to its end.
func (s *shard) find(ctx context.Context, turn string) ([]byte, bool, error) {
	if text, ok := s.lookup(turn); ok {
		return text, true, nil
	}
	if err := s.refresh(ctx); err != nil {
		return nil, false, err
	}
	text, ok := s.lookup(turn)
	return text, ok, nil
}

func (s *shard) lookup(turn string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.state.turns[turn]
	if !ok {
		return nil, false
	}
	return n.conversation(), true
}

// Find returns the conversation up to a turn that a shard of this instance holds;
// a false result is certain.
func (h *Homes) Find(ctx context.Context, turn string, shards []int) ([]byte, bool, error) {
	for _, n := range shards {
		s := h.shard(n)
		if err := s.load(ctx); err != nil {
			return nil, false, err
		}
		text, ok, err := s.find(ctx, turn)
		if err != nil || ok {
			return text, ok, err
		}
	}
	return nil, false, nil
}

// Lookup returns the conversation up to a turn if a loaded shard holds it, or one
// of the copies that are held for other instances.
func (h *Homes) Lookup(turn string, copies map[int][][]byte) ([]byte, bool) {
	h.mu.Lock()
	shards := make([]*shard, 0, len(h.shards))
	for _, s := range h.shards {
		shards = append(shards, s)
	}
	h.mu.Unlock()
	for _, s := range shards {
		if text, ok := s.lookup(turn); ok {
			return text, true
		}
	}
	for n, list := range copies {
		if text, ok := h.shard(n).lookupWith(turn, list); ok {
			return text, true
		}
	}
	return nil, false
}

// lookupWith looks for a turn among copies that the log may not have taken.
func (s *shard) lookupWith(id string, copies [][]byte) ([]byte, bool) {
	for _, data := range copies {
		r := &turnpb.Record{}
		if err := proto.Unmarshal(data, r); err != nil || r.GetEnd().GetAttempt() != id || r.GetEnd().GetTurn() == nil {
			continue
		}
		t := r.GetEnd().GetTurn()
		if t.GetWhole() || t.GetPrevious() == "" {
			return t.GetText(), true
		}
		before, ok := s.lookup(t.GetPrevious())
		if !ok {
			if before, ok = s.lookupWith(t.GetPrevious(), copies); !ok {
				return nil, false
			}
		}
		return append(append([]byte(nil), before...), t.GetText()...), true
	}
	return nil, false
}

// End settles an attempt; with a turn to keep it returns when the turn is durable.
func (h *Homes) End(ctx context.Context, r EndRequest) error {
	s := h.shard(ShardOf(r.Program, h.config.Shards))
	end := &turnpb.End{Program: r.Program, Attempt: r.Attempt, Tokens: r.Tokens}
	if r.Keep != nil {
		t, err := s.turn(ctx, r)
		if err != nil {
			return err
		}
		end.Turn = t
	}
	s.mu.Lock()
	delete(s.foreign, r.Attempt)
	if r.Endpoint != "" && r.Session != "" {
		s.sessions[r.Session] = r.Endpoint
	}
	if p, ok := s.state.programs[r.Program]; ok {
		end.Spent = p.spent
	}
	op := &operation{record: &turnpb.Record{Body: &turnpb.Record_End{End: end}}}
	s.submit(op)
	s.mu.Unlock()
	if r.Keep == nil {
		return nil
	}
	return op.wait(ctx)
}

// turn returns the record of a turn: only what it adds, or the whole conversation
// when the earlier part stands elsewhere or is old.
func (s *shard) turn(ctx context.Context, r EndRequest) (*turnpb.Turn, error) {
	t := &turnpb.Turn{Previous: r.Keep.Previous, Text: r.Keep.Text, RetentionMs: r.Keep.RetentionMS}
	if r.Keep.Previous == "" {
		return t, nil
	}
	s.mu.Lock()
	n, ok := s.state.turns[r.Keep.Previous]
	before, foreign := s.foreign[r.Attempt]
	if ok && time.Since(n.oldest()) > wholeAge {
		before, foreign = n.conversation(), true
	}
	s.mu.Unlock()
	if ok && !foreign {
		return t, nil
	}
	if !foreign {
		text, err := s.conversation(ctx, BeginRequest{Attempt: r.Attempt, Previous: r.Keep.Previous})
		if err != nil && KindOf(err) != KindNotFound {
			// The earlier part was found at the start of the turn: it stands in this
			// shard, or the text is lost with the process that had found it.
			return t, nil
		}
		if err != nil {
			return nil, err
		}
		if _, ok := s.lookup(r.Keep.Previous); ok {
			return t, nil
		}
		before = text
	}
	t.Text = append(append(make([]byte, 0, len(before)+len(t.Text)), before...), t.Text...)
	t.Whole = true
	return t, nil
}

// Adopt appends records of a shard that were held for a process that is gone.
func (h *Homes) Adopt(ctx context.Context, shard int, records [][]byte) error {
	return h.shard(shard).adopt(ctx, records)
}

// Run expires turns and trims the log until ctx ends.
func (h *Homes) Run(ctx context.Context) {
	t := time.NewTicker(maintainInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.maintain(ctx)
		}
	}
}

func (h *Homes) maintain(ctx context.Context) {
	h.mu.Lock()
	shards := make([]*shard, 0, len(h.shards))
	now := time.Now()
	for n, s := range h.shards {
		if s.idle(now) {
			delete(h.shards, n)
			continue
		}
		shards = append(shards, s)
	}
	h.mu.Unlock()
	for _, s := range shards {
		s.trim(ctx, now)
	}
}

// idle reports whether a shard has had no request for a while and nothing to write.
func (s *shard) idle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.used) > idleShard && len(s.pending) == 0
}

// trim forgets old turns and drops old records.
func (s *shard) trim(ctx context.Context, now time.Time) {
	s.mu.Lock()
	s.state.expire(now)
	before := int64(0)
	for len(s.marks) > 0 && now.Sub(s.marks[0].at) > trimAge {
		before = s.marks[0].offset
		s.marks = s.marks[1:]
	}
	if len(s.sessions) > maxSessions {
		clear(s.sessions)
	}
	s.mu.Unlock()
	if before == 0 {
		return
	}
	if err := s.homes.config.Log.Trim(ctx, s.number, before); err != nil {
		s.homes.config.Logger.Warn("shard can't be trimmed", zap.Int("shard", s.number), zap.Int64("before", before), zap.Error(err))
	}
}

// maxSessions bounds the sessions of a shard whose last endpoint is remembered.
const maxSessions = 20_000

// Status is what an instance holds of the shards.
type Status struct {
	// Shards is the number of shards loaded.
	Shards int
	// Turns is the number of turns held.
	Turns int
	// Bytes is the text held.
	Bytes int64
	// Pending is the number of records on their way.
	Pending int
}

// Status returns what this instance holds.
func (h *Homes) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out Status
	for _, s := range h.shards {
		s.mu.Lock()
		if s.loaded {
			out.Shards++
		}
		out.Turns += len(s.state.turns)
		out.Bytes += s.state.bytes
		out.Pending += len(s.pending)
		s.mu.Unlock()
	}
	return out
}

// Flush waits until nothing is pending or ctx ends.
func (h *Homes) Flush(ctx context.Context) {
	for h.Status().Pending > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}
