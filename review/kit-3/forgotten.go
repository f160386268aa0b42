package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// outagePeriod is the time from one outage to the next, longer than recovery_s.
	outagePeriod = 14 * time.Second
	// forgottenTurns is how many turns the budget of the program holds.
	forgottenTurns = 4
	// forgottenOutages is how often the store is down and all machines lose power.
	forgottenOutages = 3
	// outageBeforeTurn, outageBeforeLoss and darkFor are the times from the beginning of an outage of the
	// store to the turn, from that to the loss of power, and from that to the start of the machines.
	outageBeforeTurn, outageBeforeLoss, darkFor = 400 * time.Millisecond, 1500 * time.Millisecond, time.Second
)

// forgotten has one program take one turn in each of several outages of the store, after each of which all
// machines lose power, and then turns until it is told that its budget is spent.
func forgotten(s *site, trouble bool) (int, error) {
	if err := s.open(4, 6, 0, false); err != nil {
		return cannotRun, err
	}
	most := s.events * tokensAnEvent
	budget, delivered := forgottenTurns*most, 0
	program, session := newID(), newID()
	s.note("program %s has a budget of %d tokens; the most of one turn is %d", program, budget, most)
	next := func(what string, f *front) answer {
		id := newID()
		a := s.send(f, turn{id: id, program: program, session: session, input: "question " + id, prompt: 600, budget: budget}, nil)
		delivered += len(a.events) * tokensAnEvent
		s.note("%s: turn %s at %s: status %d, %d events, whole %v; %d tokens in all; %v %s", what, id, f.name, a.status, len(a.events), a.whole, delivered, a.err, a.body)
		return a
	}
	next("before", s.fronts[0])
	for n := range forgottenOutages {
		if !trouble {
			break
		}
		began := time.Now()
		s.note("outage %d of the store begins", n+1)
		s.store.setDown(true)
		time.Sleep(outageBeforeTurn)
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			next("in the outage", s.fronts[n%len(s.fronts)])
		}()
		time.Sleep(outageBeforeLoss)
		for _, f := range s.fronts {
			f.signal(syscall.SIGKILL)
		}
		<-answered
		time.Sleep(darkFor)
		for _, f := range s.fronts {
			<-f.ended
			if err := f.start(); err != nil {
				return cannotRun, err
			}
		}
		time.Sleep(500 * time.Millisecond)
		s.store.setDown(false)
		s.note("outage %d of the store ends", n+1)
		for _, f := range s.fronts {
			if !f.awaitReady(15 * time.Second) {
				return cannotRun, fmt.Errorf("%s isn't ready in time", f.name)
			}
		}
		time.Sleep(time.Until(began.Add(outagePeriod)))
	}
	for n := range 3 * forgottenTurns {
		if a := next("in calm", s.fronts[n%len(s.fronts)]); a.status == 402 {
			break
		}
	}
	s.note("%d tokens were handed out; the rule allows %d and the most of one turn, %d", delivered, budget, budget+most)
	if delivered > budget+most {
		return broken, nil
	}
	return held, nil
}
