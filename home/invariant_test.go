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

// callerView is what one caller has been told about its program.
type callerView struct {
	key    string
	handle program.Handle
	// answeredTexts holds the texts of the answered model calls, in order.
	answeredTexts []string
	// outcomesByOrder holds the latest outcome that the caller was told, by
	// call number.
	outcomesByOrder map[uint32]program.Outcome
	// receiptsByOrder holds the payloads of answered orders, by call number.
	receiptsByOrder map[uint32]string
}

// invariantChecker collects violations of the guarantees that must hold once
// all faults have ended.
type invariantChecker struct {
	cluster    *testCluster
	mu         sync.Mutex
	violations []string
}

// addViolation records a violation.
func (c *invariantChecker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// check compares the journal and the effects at the service with what the
// callers were told.
func (c *invariantChecker) check(views []*callerView) {
	c.checkEffects(views)
	committer := history.NewCommitter(history.CommitterConfig{Log: c.cluster.log, Codec: record.NewCodec(), StreamPrefix: "p", StreamCount: 1})
	for _, view := range views {
		p, err := recoverProgram(committer, view.handle)
		if err != nil {
			c.addViolation("%s: read program from journal: %v", view.key, err)
			continue
		}
		c.checkHistory(view, p)
	}
}

// recoverProgram returns the state of a program that survives the end of every
// process: that of the journal and of the records in its caller's handle.
func recoverProgram(committer *history.Committer, handle program.Handle) (*program.Program, error) {
	var p *program.Program
	var last history.RecordID
	loaded, err := committer.Load(context.Background(), handle.Program())
	if err == nil {
		p, last = loaded.Program(), loaded.LastRecordID()
	} else if handle.CarriedRecords() == "" {
		return nil, err
	}
	if handle.CarriedRecords() == "" {
		return p, nil
	}
	records, err := record.NewCodec().Decode([]byte(handle.CarriedRecords()))
	if err != nil {
		return nil, err
	}
	for _, r := range records {
		if r.Previous() != last {
			continue
		}
		if p, err = history.Apply(p, r); err != nil {
			return nil, err
		}
		last = r.ID()
	}
	if p == nil {
		return nil, fmt.Errorf("neither the journal nor the handle has the program")
	}
	// As a home does, apply the turns in the handle when they lead to the
	// history that the handle stands for.
	rebased := program.Restore(p.Snapshot())
	for _, r := range records {
		answered := r.Body().Type() == history.TypeTurn || r.Body().Type() == history.TypeSettled && r.Body().Outcome() == program.Ran
		if answered && r.Body().Answer().Number() == rebased.NextNumber() {
			if err := rebased.ApplyTurn(r.Body().Messages(), r.Body().Answer()); err != nil {
				return nil, err
			}
		}
	}
	if rebased.VerifyHandle(handle) == nil {
		return rebased, nil
	}
	return p, nil
}

// checkEffects checks that each order ran at most once, and never after its
// caller was told that it did not run.
func (c *invariantChecker) checkEffects(views []*callerView) {
	c.cluster.service.mu.Lock()
	defer c.cluster.service.mu.Unlock()
	for key, n := range c.cluster.service.effectsByOrder {
		if n > 1 {
			c.addViolation("order %s ran %d times", key, n)
		}
	}
	for _, view := range views {
		for number, outcome := range view.outcomesByOrder {
			effects := c.cluster.service.effectsByOrder[fmt.Sprintf("%s-%d", view.handle.Program(), number)]
			if outcome == program.NotRun && effects > 0 {
				c.addViolation("%s: order %d was reported as not run, but ran", view.key, number)
			}
			if outcome == program.Ran && effects != 1 {
				c.addViolation("%s: order %d was answered, but ran %d times", view.key, number, effects)
			}
		}
	}
}

// checkHistory checks that the history has every answered turn in order,
// without text of another program, and that the budget is not exceeded.
func (c *invariantChecker) checkHistory(view *callerView, p *program.Program) {
	var historyTexts []string
	for _, m := range p.History() {
		if m.Role() == program.RoleUser {
			historyTexts = append(historyTexts, m.Content())
		}
	}
	if len(historyTexts) < len(view.answeredTexts) {
		c.addViolation("%s: journal has %d turns, the caller has seen %d", view.key, len(historyTexts), len(view.answeredTexts))
		return
	}
	for i, text := range view.answeredTexts {
		if historyTexts[i] != text {
			c.addViolation("%s: turn %d is %q, the caller asked %q", view.key, i, historyTexts[i], text)
		}
	}
	budget := p.Budget()
	if budget.Spent()+budget.Reserved() > budget.Limit() {
		c.addViolation("%s: budget exceeded", view.key)
	}
}

// callerDriver makes the calls of one program and follows it from home to home.
type callerDriver struct {
	checker *invariantChecker
	cluster *testCluster
	homes   *homeSet
	view    *callerView
	// homeIndex is the index in homes.names of the home to try next, modulo its
	// length.
	homeIndex int
}

// homeSet maps names to the current homes. A name maps to nil while its home is
// down.
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
	// driverAttempts bounds the attempts to start a program or to make one
	// call.
	driverAttempts = 60
	// driverRetryInterval is the time between two attempts.
	driverRetryInterval = 200 * time.Millisecond
)

// run starts the program and makes its calls, of which every third is an order.
func (d *callerDriver) run(turns uint32) {
	if !d.start() {
		return
	}
	for n := uint32(1); n <= turns; n++ {
		c := d.cluster.modelCall(n, fmt.Sprintf("%s turn %d", d.view.key, n))
		if n%3 == 0 {
			c = d.cluster.orderCall(n)
		}
		if !d.call(c) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// start starts the program at the first home that accepts it.
func (d *callerDriver) start() bool {
	for range driverAttempts {
		name := d.homes.names[d.homeIndex%len(d.homes.names)]
		if h := d.homes.get(name); h != nil {
			s, err := h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: d.view.key, Class: "quote"})
			if err == nil {
				d.view.handle = s.Handle()
				return true
			}
		}
		d.homeIndex++
		time.Sleep(driverRetryInterval)
	}
	return false
}

// call repeats a call until it is answered or its order is finally in doubt.
// It follows the program to other homes as an entry does.
func (d *callerDriver) call(c program.Call) bool {
	target := d.view.handle.Home()
	for try := range driverAttempts {
		h := d.homes.get(target)
		if h == nil {
			target = d.nextHome(target)
			continue
		}
		text, r, err := call(h, d.view.handle, c)
		if err == nil {
			d.recordAnswer(c, text, r)
			return true
		}
		e := program.AsError(err)
		d.recordRefusal(c, e)
		switch {
		case e.Kind() == program.KindInDoubt:
			return true
		case e.Kind() == program.KindMoved && e.Home() != "":
			target = e.Home()
			d.view.handle = d.view.handle.WithHome(target)
		case e.Kind() == program.KindMoved, e.Kind() == program.KindLeaving, try%5 == 4:
			target = d.nextHome(target)
		}
		time.Sleep(driverRetryInterval)
	}
	return false
}

// nextHome waits and returns the name of a home other than target.
func (d *callerDriver) nextHome(target string) string {
	d.homeIndex++
	name := d.homes.names[d.homeIndex%len(d.homes.names)]
	if name == target {
		d.homeIndex++
		name = d.homes.names[d.homeIndex%len(d.homes.names)]
	}
	time.Sleep(driverRetryInterval)
	return name
}

// recordAnswer updates the view with an answer and checks its text.
func (d *callerDriver) recordAnswer(c program.Call, text string, r home.CallResult) {
	d.view.handle = r.Handle()
	if c.Type() == program.OrderCall {
		d.view.outcomesByOrder[c.Number()] = program.Ran
		d.view.receiptsByOrder[c.Number()] = string(r.Answer().Payload())
		return
	}
	d.view.answeredTexts = append(d.view.answeredTexts, c.Messages()[0].Content())
	if text != words(5) {
		d.checker.addViolation("%s: answer to call %d is %q", d.view.key, c.Number(), text)
	}
}

// recordRefusal updates the view with a failed order and checks that an order
// reported as not run has had no effect.
func (d *callerDriver) recordRefusal(c program.Call, e *program.Error) {
	if c.Type() != program.OrderCall {
		return
	}
	d.view.outcomesByOrder[c.Number()] = e.Outcome()
	if e.Outcome() != program.NotRun {
		return
	}
	d.cluster.service.mu.Lock()
	defer d.cluster.service.mu.Unlock()
	if d.cluster.service.effectsByOrder[fmt.Sprintf("%s-%d", d.view.handle.Program(), c.Number())] > 0 {
		d.checker.addViolation("%s: order %d was reported as not run (%v) after it ran", d.view.key, c.Number(), e)
	}
}
