package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// innocentClients is the number of clients that run programs, innocentTurns that of the turns of each.
	innocentClients, innocentTurns = 24, 5
	// shortInput is what most turns after the first one say; yesShare is their share.
	shortInput = "yes"
	yesShare   = 0.7
	// crashRounds is how often a worker crashes, crashEvery the time between two, crashedFor how long it is away.
	crashRounds = 4
	crashEvery  = 5 * time.Second
	crashedFor  = 3 * time.Second
	// innocentWatch is how long turns are watched after the last crash and contact_ms.
	innocentWatch = 20 * time.Second
	// turnTries is how often a turn is tried: three times, with one retry each.
	turnTries = 6
	// lostTries is the number of tries of the rule.
	lostTries = 5
)

func init() {
	cases["innocent"] = scenario{siteConfig{fronts: 3, engines: 7, apps: 1, shards: 12, engineStep: 25 * time.Millisecond, appWork: 50 * time.Millisecond}, playInnocent}
}

func playInnocent(s *site) (bool, error) {
	var mu sync.Mutex
	watching := false
	isWatching := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return watching
	}
	firstSent, firstServed, nextSent, lost := 0, 0, 0, 0
	reasons := map[string]int{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range innocentClients {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(3, uint64(n)))
			for p := 0; ; p++ {
				previous := ""
				for t := range innocentTurns {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(random.IntN(150)) * time.Millisecond):
					}
					input := fmt.Sprintf("turn %d of program %d-%d", t, n, p)
					if t > 0 && random.Float64() < yesShare {
						input = shortInput
					}
					r := turnRequest(fmt.Sprintf("program-%d-%d", n, p), previous, input)
					r.header["Token-Usage"] = "500,130"
					watched, began := isWatching(), time.Now()
					var a answer
					var tried []string
					for try := range turnTries {
						if try > 0 && try%2 == 0 {
							time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
						}
						a = send(s.fronts[(n+try)%len(s.fronts)], r)
						tried = append(tried, a.id)
						if a.served() {
							break
						}
					}
					mu.Lock()
					switch {
					case !watched:
					case t == 0:
						firstSent++
						if a.served() {
							firstServed++
						}
					default:
						nextSent++
						if !a.served() && len(tried) >= lostTries && !s.reachedEngine(tried) {
							lost++
							reasons[fmt.Sprintf("%d %s", a.status, a.body)]++
							s.logf("LOST: program %d-%d, turn %d, previous turn %s answered whole: no worker reached in %d tries within %.1f s, last %v", n, p, t+1, previous, len(tried), time.Since(began).Seconds(), a)
						}
					}
					mu.Unlock()
					if !a.served() {
						break
					}
					previous = a.id
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	for round := range crashRounds {
		if s.trouble {
			w := s.engines[round%len(s.engines)]
			s.logf("%s crashes, and is back %s later", w.id, crashedFor)
			w.crash(crashedFor)
		}
		time.Sleep(crashEvery)
	}
	time.Sleep(contact)
	mu.Lock()
	watching = true
	mu.Unlock()
	busy, samples := 0, 0
	for until := time.Now().Add(innocentWatch); time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
		for _, w := range s.engines {
			busy += len(w.free)
		}
		samples++
	}
	close(stop)
	wg.Wait()
	full := float64(busy) / float64(samples*len(s.engines)*8)
	s.logf("from contact_ms after the last crash: %d of %d first turns served; workers %.2f full", firstServed, firstSent, full)
	s.logf("later turns: %d, of which %d reached no worker in %d tries or more: %v", nextSent, lost, lostTries, reasons)
	if float64(firstServed) < 0.9*float64(firstSent) || full >= 0.5 {
		return false, fmt.Errorf("the rule asks for workers under half full and nine tenths of first turns")
	}
	return lost > 0, nil
}

// reachedEngine reports whether a request reached a model worker.
func (s *site) reachedEngine(ids []string) bool {
	wanted := map[string]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	for _, w := range s.engines {
		if w.reached(wanted) {
			return true
		}
	}
	return false
}
