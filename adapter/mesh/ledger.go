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
	// maxHomes is how many fronts are asked for a program before this one decides.
	maxHomes = 3
	// endPause is the wait before an end is sent again.
	endPause = 50 * time.Millisecond
	// findTimeout bounds the search of another front, which may have to load shards.
	findTimeout = 1500 * time.Millisecond
	// aliveInterval is the time between two looks whether a front that takes long
	// still lives.
	aliveInterval = 400 * time.Millisecond
)

// Begin admits an attempt of a turn at the home of its program. When that front
// does not answer, the next one is its home, and in the end this one decides by
// reading the log itself.
func (m *Mesh) Begin(ctx context.Context, r turn.BeginRequest) (turn.Admission, error) {
	for range maxHomes {
		home := m.home(ctx, r.Program)
		if home.name == m.config.Name {
			break
		}
		t, err := m.beginAt(ctx, home, r)
		if err == nil || !unreachable(err) {
			return t, err
		}
		m.config.Logger.Warn("home does not answer", zap.String("request", r.Attempt), zap.String("front", home.name), zap.Error(err))
	}
	if !m.mayDecide(r.Program) {
		return nil, turn.Errorf("begin turn", turn.KindUnavailable, "none of the homes asked answers")
	}
	t, err := m.homes.Begin(ctx, r)
	if err != nil {
		go m.release(r)
	}
	return t, err
}

// mayDecide reports whether this front may load the shard of a program: it is the
// home, or no other front can be.
func (m *Mesh) mayDecide(program string) bool {
	return m.homeOf(turn.ShardOf(program, m.config.Shards)).name == m.config.Name
}

// release settles an attempt that was refused here after another front may have
// admitted it.
func (m *Mesh) release(r turn.BeginRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	if err := m.End(ctx, turn.EndRequest{Program: r.Program, Attempt: r.Attempt}); err != nil {
		m.config.Logger.Warn("attempt not released", zap.String("request", r.Attempt), zap.Error(err))
	}
}

// home returns the front that a program's shard belongs to; a front that starts
// asks the others, or waits when there are none.
func (m *Mesh) home(ctx context.Context, program string) target {
	shard := turn.ShardOf(program, m.config.Shards)
	t := m.homeOf(shard)
	if t.name != m.config.Name || !m.starting.Load() {
		return t
	}
	select {
	case <-m.started:
	case <-ctx.Done():
	}
	return m.homeOf(shard)
}

func (m *Mesh) homeOf(shard int) target {
	return m.table.home(shard, time.Now(), !m.leaving.Load() && !m.starting.Load(), false)
}

// remote is an attempt that fits as far as its home knows.
type remote struct {
	exchange *exchange
	opened   *meshpb.Opened
	done     chan struct{}
	err      error
}

func (m *Mesh) beginAt(ctx context.Context, home target, r turn.BeginRequest) (turn.Admission, error) {
	x, err := m.open(ctx, home, &meshpb.Request{Body: &meshpb.Request_Begin{Begin: &meshpb.Begin{
		Program: r.Program, Session: r.Session, Attempt: r.Attempt, Previous: r.Previous, Budget: r.BudgetTokens, Tokens: r.MaxTokens,
	}}})
	if err != nil {
		return nil, err
	}
	reply, err := x.next(answerTimeout)
	if err != nil {
		x.close()
		if unreachable(err) && ctx.Err() == nil && m.fail(home) {
			err = turn.Errorf("ask front "+home.name, turn.KindUnavailable, "it lives but does not answer: %w", err)
		}
		return nil, err
	}
	out := &remote{exchange: x, opened: reply.GetOpened(), done: make(chan struct{})}
	go out.await(ctx)
	return out, nil
}

// await reads the second answer.
func (r *remote) await(ctx context.Context) {
	defer close(r.done)
	defer r.exchange.close()
	timeout := time.Minute
	if d, ok := ctx.Deadline(); ok {
		timeout = time.Until(d)
	}
	_, r.err = r.exchange.next(timeout)
}

// Text returns the conversation that the turn continues.
func (r *remote) Text() []byte { return r.opened.GetText() }

// Endpoint returns the endpoint that served the session last.
func (r *remote) Endpoint() string { return r.opened.GetEndpoint() }

// Wait returns when the attempt is durable.
func (r *remote) Wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return turn.Errorf("begin turn", turn.KindUnavailable, "not confirmed in time: %w", ctx.Err())
	}
}

// End settles an attempt at the home of its program, or at the next one when that
// front does not answer.
func (m *Mesh) End(ctx context.Context, r turn.EndRequest) error {
	e := &meshpb.End{Program: r.Program, Session: r.Session, Attempt: r.Attempt, Tokens: r.DeliveredTokens, Endpoint: r.Endpoint}
	if r.Completed != nil {
		e.Keep, e.Previous, e.Text, e.RetentionMs = true, r.Completed.Previous, r.Completed.Text, r.Completed.RetentionMS
	}
	for {
		home := m.home(ctx, r.Program)
		if home.name == m.config.Name {
			return m.homes.End(ctx, r)
		}
		err := m.askLong(ctx, home, &meshpb.Request{Body: &meshpb.Request_End{End: e}})
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return turn.Errorf("end turn", turn.KindUnavailable, "not recorded in time: %w", err)
		}
		m.config.Logger.Warn("home does not record", zap.String("request", r.Attempt), zap.String("front", home.name), zap.Error(err))
		if timer.Sleep(ctx, endPause) != nil {
			return turn.Errorf("end turn", turn.KindUnavailable, "not recorded in time: %w", err)
		}
	}
}

// Find asks all fronts for a conversation: each searches the shards that are its
// own to their end, and whatever else it holds. A negative answer is certain only
// when every front has given one.
func (m *Mesh) Find(ctx context.Context, id string, besides int) ([]byte, bool, error) {
	shards := map[string][]int{}
	for s := range m.config.Shards {
		if s != besides {
			name := m.homeOf(s).name
			shards[name] = append(shards[name], s)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	targets := append(m.table.alive(time.Now()), target{name: m.config.Name})
	answers := make(chan found, len(targets))
	for _, t := range targets {
		go func() { answers <- m.findAt(ctx, t, id, shards[t.name]) }()
	}
	var last error
	for range targets {
		a := <-answers
		if a.err != nil {
			last = a.err
		} else if a.ok {
			return a.text, true, nil
		}
	}
	return nil, false, last
}

// found is the answer of one front.
type found struct {
	text []byte
	ok   bool
	err  error
}

func (m *Mesh) findAt(ctx context.Context, t target, id string, shards []int) found {
	if t.name == m.config.Name {
		text, ok, err := m.findHere(ctx, id, shards)
		return found{text: text, ok: ok, err: err}
	}
	list := make([]uint32, len(shards))
	for i, s := range shards {
		list[i] = uint32(s)
	}
	reply, err := m.ask(ctx, t, &meshpb.Request{Body: &meshpb.Request_Find{Find: &meshpb.Find{Turn: id, Shards: list}}}, findTimeout)
	if err != nil && ctx.Err() == nil {
		m.config.Logger.Warn("front does not search", zap.String("turn", id), zap.String("front", t.name), zap.Error(err))
	}
	if err != nil {
		return found{err: err}
	}
	return found{text: reply.GetOpened().GetText(), ok: reply.GetOpened() != nil}
}

// findHere searches the shards that are loaded here, the copies held for others,
// and the given shards to their end.
func (m *Mesh) findHere(ctx context.Context, id string, shards []int) ([]byte, bool, error) {
	if text, ok := m.homes.FindInMemory(id, m.held.all()); ok {
		return text, true, nil
	}
	return m.homes.Find(ctx, id, shards)
}
