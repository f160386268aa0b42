package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fanoutBytes is the input of the one long turn; with its head it is inside the limits.
	fanoutBytes = 4 << 20
	// fanoutTurns is how many short turns continue it at once, at each front.
	fanoutTurns = 32
	// fanoutWaves is how often it does so, and fanoutPause the time between.
	fanoutWaves, fanoutPause = 8, 6 * time.Second
)

// fanout has one client send one long turn, and then short turns that continue it, all at once. The limit on
// what requests hold counts the inputs, not the conversations that fronts put before them.
func fanout(s *site, trouble bool) (int, error) {
	if err := s.open(4, 9, 2, false); err != nil {
		return cannotRun, err
	}
	stop := make(chan struct{})
	var watchers, clients sync.WaitGroup
	for _, f := range s.fronts {
		watchers.Go(func() { f.watchMemory(stop) })
	}
	until := time.Now().Add(fanoutWaves * (fanoutPause + time.Second))
	var ordinary, served, short, shortServed atomic.Int64
	clients.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			f, began := s.fronts[n%len(s.fronts)], time.Now()
			clients.Go(func() {
				ordinary.Add(1)
				id := newID()
				a := s.send(f, turn{id: id, program: "p-" + id, session: "s-" + id, input: "an ordinary question " + id, prompt: 600, budget: 2000}, nil)
				if a.whole {
					served.Add(1)
					return
				}
				s.note("ordinary turn %s at %s: status %d, %v %s", id, f.name, a.status, a.err, a.body)
			})
			time.Sleep(time.Until(began.Add(100 * time.Millisecond)))
		}
	})
	for wave := 0; trouble && wave < fanoutWaves; wave++ {
		first := newID()
		f := s.fronts[wave%len(s.fronts)]
		if !f.awaitReady(10 * time.Second) {
			s.note("%s isn't ready", f.name)
		}
		a := s.send(f, turn{id: first, program: "p-fan", session: "s-fan", input: first + strings.Repeat("x", fanoutBytes-len(first)), prompt: 60000}, nil)
		s.note("wave %d: the long turn: status %d, whole %v, %v %s", wave+1, a.status, a.whole, a.err, a.body)
		for n := range fanoutTurns * len(s.fronts) {
			f := s.fronts[n%len(s.fronts)]
			clients.Go(func() {
				short.Add(1)
				if s.send(f, turn{id: newID(), program: "p-fan", session: "s-fan", previous: first, input: "and then?", prompt: 60000}, nil).whole {
					shortServed.Add(1)
				}
			})
		}
		time.Sleep(fanoutPause)
	}
	clients.Wait()
	close(stop)
	watchers.Wait()
	s.note("ordinary turns %d, served whole %d; short turns %d, served whole %d", ordinary.Load(), served.Load(), short.Load(), shortServed.Load())
	if s.overMemory() {
		return broken, nil
	}
	return held, nil
}
