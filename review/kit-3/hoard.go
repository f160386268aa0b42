package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// hoardFor is how long the client that nobody controls sends turns, hoardTurns how many a second, and
	// hoardBytes the input of each, a sixteenth of the limit for bodies. At four bytes a token it fits a worker.
	hoardFor    = 70 * time.Second
	hoardTurns  = 16
	hoardBytes  = 256 << 10
	hoardTokens = hoardBytes / 4
)

// hoard has one client send valid turns with long inputs beside ordinary callers. Each turn is answered
// whole and kept for its retention by the home of the program.
func hoard(s *site, trouble bool) (int, error) {
	if err := s.open(4, 6, 2, false); err != nil {
		return cannotRun, err
	}
	stop := make(chan struct{})
	var watchers, clients sync.WaitGroup
	for _, f := range s.fronts {
		watchers.Go(func() { f.watchMemory(stop) })
	}
	until := time.Now().Add(hoardFor)
	var ordinary, served, long, longServed atomic.Int64
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
	if trouble {
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				f, began := s.fronts[n%len(s.fronts)], time.Now()
				clients.Go(func() {
					long.Add(1)
					id := newID()
					a := s.send(f, turn{id: id, program: "p-hoard", session: "s-" + id, input: id + strings.Repeat("x", hoardBytes-len(id)), prompt: hoardTokens, budget: 1 << 30}, nil)
					if a.whole {
						longServed.Add(1)
					}
				})
				time.Sleep(time.Until(began.Add(time.Second / hoardTurns)))
			}
		})
	}
	clients.Go(func() {
		for time.Now().Before(until) {
			time.Sleep(5 * time.Second)
			for _, f := range s.fronts {
				s.note("%s holds %.1f MB; ordinary turns %d, served %d; long turns %d, served %d", f.name, f.anonymousMB(), ordinary.Load(), served.Load(), long.Load(), longServed.Load())
			}
		}
	})
	clients.Wait()
	close(stop)
	watchers.Wait()
	s.note("ordinary turns %d, served whole %d; long turns %d, served whole %d", ordinary.Load(), served.Load(), long.Load(), longServed.Load())
	if s.overMemory() {
		return broken, nil
	}
	return held, nil
}
