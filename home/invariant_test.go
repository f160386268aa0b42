package home_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// witness is what one caller has seen of its program.
type witness struct {
	key    string
	handle program.Handle
	// asked holds the texts of the answered model calls, in order.
	asked []string
	// orders holds the outcome that the caller was told of each order last.
	orders map[uint32]program.Outcome
	// receipts holds the payloads of answered orders.
	receipts map[uint32]string
}

// audit checks what must always hold, after all faults are mended.
type audit struct {
	world      *world
	mu         sync.Mutex
	violations []string
}

func (a *audit) fail(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// check compares the journal and the service with what callers were told.
func (a *audit) check(witnesses []*witness) {
	a.checkEffects(witnesses)
	committer := history.NewCommitter(history.CommitterConfig{Log: a.world.log, Codec: record.NewCodec(), Prefix: "p", Streams: 1})
	for _, w := range witnesses {
		p, err := kept(committer, w.handle)
		if err != nil {
			a.fail("%s: journal: %v", w.key, err)
			continue
		}
		a.checkHistory(w, p)
	}
}

// kept returns what is left of a program when every process has ended: its
// journal, and the records that its caller's handle carries beyond that.
func kept(c *history.Committer, h program.Handle) (*program.Program, error) {
	var p *program.Program
	var last history.RecordID
	loaded, err := c.Load(context.Background(), h.Program())
	if err == nil {
		p, last = loaded.Program(), loaded.Last()
	} else if h.CarriedRecords() == "" {
		return nil, err
	}
	if h.CarriedRecords() == "" {
		return p, nil
	}
	records, err := record.NewCodec().Decode([]byte(h.CarriedRecords()))
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if r.Previous() != last {
			continue
		}
		if p, err = history.Fold(p, r); err != nil {
			return nil, err
		}
		last = r.ID()
	}
	if p == nil {
		return nil, fmt.Errorf("neither journal nor handle holds the program")
	}
	// What a home would do with the handle: its turns count when they lead to
	// the history that the handle stands for.
	rebased := program.Restore(p.Snapshot())
	for _, r := range records {
		answered := r.Body().Step() == history.StepTurn || r.Body().Step() == history.StepSettled && r.Body().Outcome() == program.Ran
		if answered && r.Body().Answer().Number() == rebased.NextNumber() {
			if err := rebased.ApplyTurn(r.Body().Messages(), r.Body().Answer()); err != nil {
				return nil, err
			}
		}
	}
	if rebased.VerifyHandle(h) == nil {
		return rebased, nil
	}
	return p, nil
}

// checkEffects checks that orders ran at most once, and never when refused.
func (a *audit) checkEffects(witnesses []*witness) {
	a.world.service.mu.Lock()
	defer a.world.service.mu.Unlock()
	for key, n := range a.world.service.effects {
		if n > 1 {
			a.fail("order %s ran %d times", key, n)
		}
	}
	for _, w := range witnesses {
		for number, outcome := range w.orders {
			effects := a.world.service.effects[fmt.Sprintf("%s-%d", w.handle.Program(), number)]
			if outcome == program.NotRun && effects > 0 {
				a.fail("%s: order %d was refused as not run, but ran", w.key, number)
			}
			if outcome == program.Ran && effects != 1 {
				a.fail("%s: order %d was answered, but ran %d times", w.key, number, effects)
			}
		}
	}
}

// checkHistory checks that every acknowledged turn is in the journal, in order
// and with no other program's text, and that the budget held.
func (a *audit) checkHistory(w *witness, p *program.Program) {
	var asked []string
	for _, m := range p.History() {
		if m.Role() == program.RoleUser {
			asked = append(asked, m.Content())
		}
	}
	if len(asked) < len(w.asked) {
		a.fail("%s: journal has %d turns, the caller saw %d", w.key, len(asked), len(w.asked))
		return
	}
	for i, text := range w.asked {
		if asked[i] != text {
			a.fail("%s: turn %d is %q, the caller asked %q", w.key, i, asked[i], text)
		}
	}
	budget := p.Budget()
	if budget.Spent()+budget.Reserved() > budget.Limit() {
		a.fail("%s: budget exceeded", w.key)
	}
}

// driver runs one caller's program against whichever home will have it.
type driver struct {
	audit   *audit
	world   *world
	homes   *homeSet
	witness *witness
	at      int
}

// homeSet holds the homes by name, as they are replaced.
type homeSet struct {
	mu    sync.Mutex
	names []string
	homes map[string]*home.Home
}

func (s *homeSet) get(name string) *home.Home {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.homes[name]
}

func (s *homeSet) put(name string, h *home.Home) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes[name] = h
}

const (
	driverTries = 60
	driverWait  = 200 * time.Millisecond
)

// run starts the program and makes its calls; every third is an order.
func (d *driver) run(turns uint32) {
	if !d.start() {
		return
	}
	for n := uint32(1); n <= turns; n++ {
		c := d.world.ask(n, fmt.Sprintf("%s turn %d", d.witness.key, n))
		if n%3 == 0 {
			c = d.world.pay(n)
		}
		if !d.call(c) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *driver) start() bool {
	for range driverTries {
		name := d.homes.names[d.at%len(d.homes.names)]
		if h := d.homes.get(name); h != nil {
			s, err := h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: d.witness.key, Class: "quote"})
			if err == nil {
				d.witness.handle = s.Handle()
				return true
			}
		}
		d.at++
		time.Sleep(driverWait)
	}
	return false
}

// call makes a call until it is answered or can't be; it follows the program
// to other homes as an entry does.
func (d *driver) call(c program.Call) bool {
	target := d.witness.handle.Home()
	for try := range driverTries {
		h := d.homes.get(target)
		if h == nil {
			target = d.next(target)
			continue
		}
		text, r, err := call(h, d.witness.handle, c)
		if err == nil {
			d.answered(c, text, r)
			return true
		}
		e := program.AsError(err)
		d.refused(c, e)
		switch {
		case e.Kind() == program.KindInDoubt:
			return true
		case e.Kind() == program.KindMoved && e.Home() != "":
			target = e.Home()
			d.witness.handle = d.witness.handle.WithHome(target)
		case e.Kind() == program.KindMoved, e.Kind() == program.KindLeaving, try%5 == 4:
			target = d.next(target)
		}
		time.Sleep(driverWait)
	}
	return false
}

func (d *driver) next(target string) string {
	d.at++
	name := d.homes.names[d.at%len(d.homes.names)]
	if name == target {
		d.at++
		name = d.homes.names[d.at%len(d.homes.names)]
	}
	time.Sleep(driverWait)
	return name
}

func (d *driver) answered(c program.Call, text string, r home.Result) {
	d.witness.handle = r.Handle()
	if c.Type() == program.OrderCall {
		d.witness.orders[c.Number()] = program.Ran
		d.witness.receipts[c.Number()] = string(r.Answer().Payload())
		return
	}
	d.witness.asked = append(d.witness.asked, c.Messages()[0].Content())
	if text != words(5) {
		d.audit.fail("%s: answer to call %d is %q", d.witness.key, c.Number(), text)
	}
}

func (d *driver) refused(c program.Call, e *program.Error) {
	if c.Type() != program.OrderCall {
		return
	}
	d.witness.orders[c.Number()] = e.Outcome()
	if e.Outcome() != program.NotRun {
		return
	}
	d.world.service.mu.Lock()
	defer d.world.service.mu.Unlock()
	if d.world.service.effects[fmt.Sprintf("%s-%d", d.witness.handle.Program(), c.Number())] > 0 {
		d.audit.fail("%s: order %d refused as not run (%v) after it ran", d.witness.key, c.Number(), e)
	}
}
