package mesh

import (
	"context"
	"time"

	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/timer"
	"github.com/lavendervale/lavendervale/turn"
)

const (
	// maxHomeAttempts bounds the requests to other fronts to admit one turn. After that,
	// this front admits the turn itself if it has become the home, or else refuses it.
	maxHomeAttempts = 3
	// endRetryInterval is the wait before the end of an attempt is sent again.
	endRetryInterval = 50 * time.Millisecond
	// findTimeout bounds the search for a turn by another front, which may have to load
	// shards for it.
	findTimeout = 1500 * time.Millisecond
	// probeInterval is the time between two pings of a front that has not replied yet.
	probeInterval = 400 * time.Millisecond
)

// Begin admits an attempt of a turn at the home of its program. A front that does not
// answer is suspended, which makes another front the home; when this one becomes the
// home, it loads the shard from the log and admits the attempt itself. Errors are of
// the kinds of turn.ShardSet.Begin, and of turn.KindUnavailable when no home answers.
func (m *Mesh) Begin(ctx context.Context, r turn.BeginRequest) (turn.Admission, error) {
	for range maxHomeAttempts {
		home := m.homeOfProgram(ctx, r.Program)
		if ctx.Err() != nil {
			return nil, turn.Errorf("begin turn", turn.KindUnavailable, "the request ended before the home of the program was known: %w", ctx.Err())
		}
		if home.name == m.config.Name {
			break
		}
		t, err := m.beginRemote(ctx, home, r)
		if err == nil || !isUnreachable(err) {
			return t, err
		}
		if ctx.Err() != nil {
			return nil, turn.Errorf("begin turn", turn.KindUnavailable, "the request ended before its home answered: %w", err)
		}
		m.config.Logger.Warn("home does not answer", zap.String("request", r.Attempt), zap.String("front", home.name), zap.Error(err))
	}
	if !m.mayAdmit(r.Program) {
		return nil, turn.Errorf("begin turn", turn.KindUnavailable, "no home of the program answered")
	}
	t, err := m.shardSet.Begin(ctx, r)
	if err != nil {
		go m.releaseAttempt(r)
	}
	return t, err
}

// mayAdmit reports whether this front may load the shard of a program: it is the home,
// or no other front can be.
func (m *Mesh) mayAdmit(program string) bool {
	return m.homeOfShard(turn.ShardOf(program, m.config.Shards)).name == m.config.Name
}

// releaseAttempt settles an attempt that this front refused. Another front may have
// admitted it without its reply arriving here, and would keep the tokens reserved.
func (m *Mesh) releaseAttempt(r turn.BeginRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), handleTimeout)
	defer cancel()
	if err := m.End(ctx, turn.EndRequest{Program: r.Program, Attempt: r.Attempt}); err != nil {
		m.config.Logger.Warn("releasing a refused attempt failed", zap.String("request", r.Attempt), zap.Error(err))
	}
}

// homeOfProgram returns the front that is the home of a program. While this front is
// starting, it is a home only when there is no other; it then waits until it has
// started.
func (m *Mesh) homeOfProgram(ctx context.Context, program string) target {
	m.waitSettled(ctx)
	shard := turn.ShardOf(program, m.config.Shards)
	t := m.homeOfShard(shard)
	if t.name != m.config.Name || !m.starting.Load() {
		return t
	}
	select {
	case <-m.started:
	case <-ctx.Done():
	}
	return m.homeOfShard(shard)
}

// waitSettled waits until this front has heard of most others, or ctx ends, and reports whether it had
// to wait.
func (m *Mesh) waitSettled(ctx context.Context) bool {
	select {
	case <-m.settled:
		return false
	default:
	}
	if m.settled == nil {
		return false
	}
	select {
	case <-m.settled:
	case <-ctx.Done():
	}
	return true
}

// homeOfShard returns the front that is the home of a shard. Fronts that are starting can be
// homes while most are, as after the loss of all: otherwise each would take itself for the home
// of every shard, and then the first that has started.
func (m *Mesh) homeOfShard(shard int) target {
	now, starting := time.Now(), m.starting.Load()
	includeStarting := m.peers.mostAreStarting(now, starting)
	return m.peers.home(shard, now, !m.handsOver() && (includeStarting || !starting || m.cold.Load()), includeStarting)
}

// remoteAdmission is an attempt that another front admitted and whose record may not be
// durable yet.
type remoteAdmission struct {
	exchange *exchange
	opened   *meshpb.Opened
	// continues is set if the attempt continues an earlier turn.
	continues bool
	// confirmed is closed when the record is durable or has failed.
	confirmed chan struct{}
	// err is why the record failed, nil when it is durable; valid once confirmed is
	// closed.
	err error
}

// beginRemote asks another front, the home of the program, to admit an attempt.
func (m *Mesh) beginRemote(ctx context.Context, home target, r turn.BeginRequest) (turn.Admission, error) {
	x, err := m.openExchange(ctx, home, &meshpb.Request{Body: &meshpb.Request_Begin{Begin: &meshpb.Begin{
		Program: r.Program, Session: r.Session, Attempt: r.Attempt, Previous: r.Previous, Budget: r.BudgetTokens, Tokens: r.MaxTokens, Lease: r.Lease,
	}}})
	if err != nil {
		return nil, err
	}
	reply, err := x.readReplyWhileAlive()
	if err != nil {
		x.close()
		return nil, err
	}
	admission := &remoteAdmission{exchange: x, opened: reply.GetOpened(), continues: r.Previous != "", confirmed: make(chan struct{})}
	go admission.awaitConfirmation(ctx)
	return admission, nil
}

// awaitConfirmation waits until ctx ends for the second reply, which says whether the
// record is durable.
func (r *remoteAdmission) awaitConfirmation(ctx context.Context) {
	defer close(r.confirmed)
	defer r.exchange.close()
	timeout := time.Minute
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	_, r.err = r.exchange.readReply(timeout)
}

// Text returns the conversation that the turn continues.
func (r *remoteAdmission) Text() []byte { return r.opened.GetText() }

// Endpoint returns the endpoint that holds the conversation, empty if unknown.
func (r *remoteAdmission) Endpoint() string { return r.opened.GetEndpoint() }

// Begun reports whether the home knew of an earlier turn or token of the program. A turn that continues
// another one belongs to a begun program also if the home is of an older version and does not tell.
func (r *remoteAdmission) Begun() bool { return r.continues || r.opened.GetBegun() }

// Waited returns the time since the home was first asked to begin the program, 0 if it has begun.
func (r *remoteAdmission) Waited() time.Duration {
	return time.Duration(r.opened.GetWaitedMs()) * time.Millisecond
}

// Wait returns when the record of the attempt is durable. Its error is why the record
// failed, or of turn.KindUnavailable when ctx ends first.
func (r *remoteAdmission) Wait(ctx context.Context) error {
	select {
	case <-r.confirmed:
		return r.err
	case <-ctx.Done():
		return turn.Errorf("begin turn", turn.KindUnavailable, "the home did not confirm the record in time: %w", ctx.Err())
	}
}

// End settles an attempt at the home of its program; a completed turn is durable when
// it returns nil. After a failure it retries, at the new home when that has changed, until
// ctx ends; the error is then of turn.KindUnavailable. It is of turn.KindNotFound when no
// shard holds the turn that was continued.
func (m *Mesh) End(ctx context.Context, r turn.EndRequest) error {
	end := &meshpb.End{Program: r.Program, Session: r.Session, Attempt: r.Attempt, Tokens: r.DeliveredTokens, Endpoint: r.Endpoint}
	if r.Completed != nil {
		end.Keep, end.Previous, end.Text, end.RetentionMs = true, r.Completed.Previous, r.Completed.Text, r.Completed.RetentionMS
	}
	for {
		home := m.homeOfProgram(ctx, r.Program)
		if ctx.Err() != nil && m.starting.Load() {
			return turn.Errorf("end turn", turn.KindUnavailable, "this front did not start in time: %w", ctx.Err())
		}
		var err error
		if home.name == m.config.Name {
			err = m.shardSet.End(ctx, r)
		} else {
			err = m.roundTripWhileAlive(ctx, home, &meshpb.Request{Body: &meshpb.Request_End{End: end}})
		}
		if err == nil || turn.KindOf(err) == turn.KindNotFound {
			return err
		}
		if ctx.Err() != nil {
			return turn.Errorf("end turn", turn.KindUnavailable, "the home did not record the end in time: %w", err)
		}
		m.config.Logger.Warn("home does not record", zap.String("request", r.Attempt), zap.String("front", home.name), zap.Error(err))
		if timer.Sleep(ctx, endRetryInterval) != nil {
			return turn.Errorf("end turn", turn.KindUnavailable, "the home did not record the end in time: %w", err)
		}
	}
}

// Find returns the conversation up to a turn, searching all shards but excludedShard.
// Every front reads the shards of which it is the home to their end, and searches
// whatever else it has in memory. The result is false without an error only when every
// front answered that it does not have the turn.
func (m *Mesh) Find(ctx context.Context, turnID string, excludedShard int) ([]byte, bool, error) {
	targets := append(m.peers.alive(time.Now()), target{name: m.config.Name})
	shardsByHome, err := shardsByTarget(targets, m.config.Shards, excludedShard, func(shard int) string { return m.homeOfShard(shard).name })
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan findResult, len(targets))
	for _, t := range targets {
		go func() { results <- m.findAtFront(ctx, t, turnID, shardsByHome[t.name]) }()
	}
	var lastErr error
	for range targets {
		result := <-results
		if result.err != nil {
			lastErr = result.err
		} else if result.found {
			return result.text, true, nil
		}
	}
	return nil, false, lastErr
}

// FindInMemory returns the conversation up to a turn that this front or another one has in memory.
// No front reads a shard for it.
func (m *Mesh) FindInMemory(ctx context.Context, turnID string) ([]byte, bool) {
	if text, ok := m.shardSet.FindInMemory(turnID, m.replicas.all()); ok {
		return text, true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	targets := m.peers.alive(time.Now())
	results := make(chan findResult, len(targets))
	for _, t := range targets {
		go func() { results <- m.findAtFront(ctx, t, turnID, nil) }()
	}
	for range targets {
		if result := <-results; result.found {
			return result.text, true
		}
	}
	return nil, false
}

// shardsByTarget returns the shards that each target is the home of, without the excluded
// one. It returns an error of turn.KindUnavailable when the home of a shard is not among the
// targets, as when it was suspended a moment ago: nobody would search that shard.
func shardsByTarget(targets []target, shardCount, excludedShard int, homeOf func(shard int) string) (map[string][]int, error) {
	shards := make(map[string][]int, len(targets))
	for _, t := range targets {
		shards[t.name] = nil
	}
	for shard := range shardCount {
		if shard == excludedShard {
			continue
		}
		home := homeOf(shard)
		if _, ok := shards[home]; !ok {
			return nil, turn.Errorf("find turn", turn.KindUnavailable, "front %s, the home of shard %d, is no longer alive", home, shard)
		}
		shards[home] = append(shards[home], shard)
	}
	return shards, nil
}

// findResult is the reply of one front to a search for a turn.
type findResult struct {
	text  []byte
	found bool
	err   error
}

// findAtFront has one front, which may be this one, search for a turn.
func (m *Mesh) findAtFront(ctx context.Context, t target, turnID string, shards []int) findResult {
	if t.name == m.config.Name {
		text, ok, err := m.findLocal(ctx, turnID, shards)
		return findResult{text: text, found: ok, err: err}
	}
	shardNumbers := make([]uint32, len(shards))
	for i, s := range shards {
		shardNumbers[i] = uint32(s)
	}
	reply, err := m.roundTrip(ctx, t, &meshpb.Request{Body: &meshpb.Request_Find{Find: &meshpb.Find{Turn: turnID, Shards: shardNumbers}}}, findTimeout)
	if err != nil && ctx.Err() == nil {
		m.config.Logger.Warn("search for a turn at a front failed", zap.String("turn", turnID), zap.String("front", t.name), zap.Error(err))
	}
	if err != nil {
		return findResult{err: err}
	}
	return findResult{text: reply.GetOpened().GetText(), found: reply.GetOpened() != nil}
}

// findLocal searches the shards that are loaded in this front, the replicas that it
// holds for others, and then the given shards to their end.
func (m *Mesh) findLocal(ctx context.Context, turnID string, shards []int) ([]byte, bool, error) {
	if text, ok := m.shardSet.FindInMemory(turnID, m.replicas.all()); ok {
		return text, true, nil
	}
	return m.shardSet.Find(ctx, turnID, shards)
}
