package turn

import (
	"time"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

const (
	// expirySlack is added to the retention of turns, as the clocks of instances
	// differ by seconds and may jump.
	expirySlack = 20 * time.Second
	// programLifetime is how long the budget of a program without turns is kept; it
	// is the retention of the platform's log.
	programLifetime = 300 * time.Second
)

// state is the fold of the records of a shard.
type state struct {
	programs map[string]*program
	turns    map[string]*node
	bytes    int64
}

// program is the budget of a program.
type program struct {
	spent   int64
	open    map[string]int64
	ended   map[string]struct{}
	touched time.Time
}

// node is a turn that can be continued.
type node struct {
	parent  *node
	text    []byte
	written time.Time
	expires time.Time
}

func newState() *state {
	return &state{programs: map[string]*program{}, turns: map[string]*node{}}
}

func (s *state) program(id string, now time.Time) *program {
	p, ok := s.programs[id]
	if !ok {
		p = &program{open: map[string]int64{}, ended: map[string]struct{}{}}
		s.programs[id] = p
	}
	if now.After(p.touched) {
		p.touched = now
	}
	return p
}

// committed returns what a program has spent and set aside besides one attempt.
func (s *state) committed(id, besides string) int64 {
	p, ok := s.programs[id]
	if !ok {
		return 0
	}
	sum := p.spent
	for attempt, n := range p.open {
		if attempt != besides {
			sum += n
		}
	}
	return sum
}

// open returns the attempts of a program that are not settled, with their tokens.
func (s *state) open(id string) map[string]int64 {
	if p, ok := s.programs[id]; ok {
		return p.open
	}
	return nil
}

// apply takes over a record; applying one twice changes nothing.
func (s *state) apply(r *turnpb.Record) {
	at := time.UnixMilli(r.GetWrittenMs())
	switch {
	case r.GetBegin() != nil:
		s.begin(r.GetBegin(), at)
	case r.GetEnd() != nil:
		s.end(r.GetEnd(), at)
	}
}

// has reports whether a record would change nothing.
func (s *state) has(r *turnpb.Record) bool {
	if b := r.GetBegin(); b != nil {
		p, ok := s.programs[b.GetProgram()]
		if !ok {
			return false
		}
		_, open := p.open[b.GetAttempt()]
		_, ended := p.ended[b.GetAttempt()]
		return open || ended
	}
	e := r.GetEnd()
	p, ok := s.programs[e.GetProgram()]
	if !ok {
		return false
	}
	_, ended := p.ended[e.GetAttempt()]
	_, kept := s.turns[e.GetAttempt()]
	return ended && (kept || e.GetTurn() == nil)
}

func (s *state) begin(b *turnpb.Begin, at time.Time) {
	p := s.program(b.GetProgram(), at)
	if _, ok := p.ended[b.GetAttempt()]; ok {
		return
	}
	p.open[b.GetAttempt()] = b.GetTokens()
}

func (s *state) end(e *turnpb.End, at time.Time) {
	_, known := s.programs[e.GetProgram()]
	p := s.program(e.GetProgram(), at)
	if !known {
		p.spent = e.GetSpent()
	}
	if _, ok := p.ended[e.GetAttempt()]; !ok {
		p.ended[e.GetAttempt()] = struct{}{}
		delete(p.open, e.GetAttempt())
		p.spent += e.GetTokens()
	}
	if t := e.GetTurn(); t != nil {
		s.keep(e.GetAttempt(), t, at)
	}
}

func (s *state) keep(id string, t *turnpb.Turn, at time.Time) {
	if _, ok := s.turns[id]; ok {
		return
	}
	n := &node{text: t.GetText(), written: at, expires: at.Add(time.Duration(t.GetRetentionMs())*time.Millisecond + expirySlack)}
	if !t.GetWhole() && t.GetPrevious() != "" {
		parent, ok := s.turns[t.GetPrevious()]
		if !ok {
			return
		}
		n.parent = parent
	}
	s.turns[id] = n
	s.bytes += int64(len(n.text))
	for a := n.parent; a != nil && a.expires.Before(n.expires); a = a.parent {
		a.expires = n.expires
	}
}

// conversation returns the text up to a turn.
func (n *node) conversation() []byte {
	size := 0
	for a := n; a != nil; a = a.parent {
		size += len(a.text)
	}
	out := make([]byte, size)
	for a := n; a != nil; a = a.parent {
		size -= len(a.text)
		copy(out[size:], a.text)
	}
	return out
}

// oldest returns when the first record of the conversation was written.
func (n *node) oldest() time.Time {
	for n.parent != nil {
		n = n.parent
	}
	return n.written
}

// expire forgets what need not be found any more.
func (s *state) expire(now time.Time) {
	for id, n := range s.turns {
		if now.After(n.expires) {
			delete(s.turns, id)
			s.bytes -= int64(len(n.text))
		}
	}
	for id, p := range s.programs {
		if now.Sub(p.touched) > programLifetime {
			delete(s.programs, id)
		}
	}
}
