package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fullTurns is how many turns a second the client sends that nobody controls, for fullFor.
	fullTurns, fullFor = 40, 46 * time.Second
	// fullBytes is the input of each, a sixteenth of the limit for bodies; fullTokens fit a worker.
	fullBytes, fullTokens = 256 << 10, fullBytes / 4
	// fullWatch is how long ordinary callers are watched after that.
	fullWatch = 30 * time.Second
)

// full has one client send valid turns of programs of its own until the store of the platform is full, then
// stop. Ordinary callers send a turn each tenth of a second all the while.
func full(s *site, trouble bool) (int, error) {
	if err := s.open(8, 9, 2, false); err != nil {
		return cannotRun, err
	}
	var clients sync.WaitGroup
	began := time.Now()
	var long, longServed atomic.Int64
	if trouble {
		clients.Go(func() {
			for n := 0; time.Since(began) < fullFor; n++ {
				f, at := s.fronts[n%len(s.fronts)], time.Now()
				clients.Go(func() {
					long.Add(1)
					id := newID()
					if s.send(f, turn{id: id, program: "p-" + id, session: "s-" + id, input: id + strings.Repeat("x", fullBytes-len(id)), prompt: fullTokens, budget: 1 << 20}, nil).whole {
						longServed.Add(1)
					}
				})
				time.Sleep(time.Until(at.Add(time.Second / fullTurns)))
			}
		})
	}
	var mu sync.Mutex
	sent, served := map[int]int{}, map[int]int{}
	for n := 0; time.Since(began) < fullFor+fullWatch; n++ {
		f, at, span := s.fronts[n%len(s.fronts)], time.Now(), int(time.Since(began)/(5*time.Second))
		clients.Go(func() {
			id := newID()
			a := s.send(f, turn{id: id, program: "p-" + id, session: "s-" + id, input: "an ordinary question " + id, prompt: 600, budget: 2000}, nil)
			mu.Lock()
			sent[span]++
			if a.whole {
				served[span]++
			}
			mu.Unlock()
			if !a.whole {
				s.note("ordinary turn %s at %s: status %d, %d events, %v %s", id, f.name, a.status, len(a.events), a.err, a.body)
			}
		})
		time.Sleep(time.Until(at.Add(100 * time.Millisecond)))
	}
	clients.Wait()
	for span := range int((fullFor+fullWatch)/(5*time.Second)) + 1 {
		s.note("ordinary turns sent from second %d on: %d, answered whole: %d", 5*span, sent[span], served[span])
	}
	s.store.mu.Lock()
	s.note("long turns %d, answered whole %d; the store holds %d of %d bytes; calls %v", long.Load(), longServed.Load(), s.store.total, maxTotalBytes, s.store.calls)
	s.store.mu.Unlock()
	for _, f := range s.fronts {
		s.note("%s holds %.1f MB, ended by itself %d times", f.name, f.anonymousMB(), f.ownEnds)
	}
	first := int((fullFor + 5*time.Second) / (5 * time.Second))
	asked, answered := 0, 0
	for span := first; sent[span] > 0; span++ {
		asked, answered = asked+sent[span], answered+served[span]
	}
	s.note("after the client had stopped: %d ordinary turns, %d answered whole", asked, answered)
	if 4*answered < asked {
		return broken, nil
	}
	return held, nil
}
