package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// agedPrograms is the number of programs whose second turn follows agedPause after the first, and whose
	// third turn follows agedThird after the start.
	agedPrograms = 60
	agedPause    = 55 * time.Second
	// killAfter is when the front is killed at the earliest: their first turns are kept no longer then.
	killAfter = 83 * time.Second
	// fillClients is the number of clients that run other programs, with turns of fillBytes, fillPause apart.
	fillClients, fillBytes = 30, 16000
	fillPause              = 1300 * time.Millisecond
	// slowFactor and slowTime are the dose of platform_slow in the site file.
	slowFactor = 60
	slowTime   = 4500 * time.Millisecond
	// maintenance is the time between two searches of a front for expired turns.
	maintenance = 5 * time.Second
	// takeover is about how long after the kill the other front begins to read the shards.
	takeover = 600 * time.Millisecond
	// readHalf is about how long it then takes until it has read the first turns, but not yet the second ones.
	readHalf = 700 * time.Millisecond
)

func init() {
	cases["aged"] = scenario{siteConfig{fronts: 2, engines: 6, apps: 2, shards: 12, engineStep: 5 * time.Millisecond, appWork: 50 * time.Millisecond}, playAged}
}

func playAged(s *site) (bool, error) {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	input := strings.Repeat("z", fillBytes)
	started := time.Now()
	var mu sync.Mutex
	killed := false
	pick := func(n int) *front {
		mu.Lock()
		defer mu.Unlock()
		if killed {
			return s.fronts[1]
		}
		return s.fronts[n%len(s.fronts)]
	}
	for n := range fillClients {
		wg.Go(func() {
			for program := 0; ; program++ {
				previous := ""
				for range 4 {
					select {
					case <-stop:
						return
					case <-time.After(fillPause):
					}
					a := send(pick(n), turnRequest(fmt.Sprintf("fill-%d-%d", n, program), previous, input))
					if !a.served() {
						break
					}
					previous = a.id
				}
			}
		})
	}
	type chain struct {
		program, last string
		answeredAt    time.Time
	}
	chains := make([]chain, agedPrograms)
	turn := func(n int, input string) (answer, error) {
		c := &chains[n]
		for try := range 5 {
			a := send(pick(n+try), turnRequest(c.program, c.last, input))
			if a.served() {
				c.last, c.answeredAt = a.id, time.Now()
				return a, nil
			}
			time.Sleep(100 * time.Millisecond)
		}
		return answer{}, fmt.Errorf("a turn of program %s is not served before the disruption", c.program)
	}
	for n := range chains {
		chains[n].program = fmt.Sprintf("aged-%d", n)
		if _, err := turn(n, "first"); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(started.Add(agedPause)))
	for n := range chains {
		if _, err := turn(n, "second"); err != nil {
			return false, err
		}
	}
	s.logf("%d programs have two turns, %s apart", agedPrograms, agedPause)

	// The reads of the other front shall last over one of its searches for expired turns.
	other := s.fronts[1].startedAt
	rounds := time.Until(started.Add(killAfter)) + time.Since(other) + takeover
	at := other.Add((rounds/maintenance + 1) * maintenance).Add(-takeover - readHalf)
	time.Sleep(time.Until(at))
	records, size := s.store.sizes("turns")
	if s.trouble {
		s.store.setSlow(slowFactor)
		s.fronts[0].kill()
		mu.Lock()
		killed = true
		mu.Unlock()
		s.logf("%s is removed for good, and the store is slow for %s; the log has %d records and %d bytes", s.fronts[0].name, slowTime, records, size)
	}
	time.Sleep(slowTime)
	s.store.setSlow(1)
	time.Sleep(2 * time.Second)
	lost := 0
	kinds := map[int]int{}
	for n := range chains {
		c := &chains[n]
		age := time.Since(c.answeredAt)
		a := send(pick(n), turnRequest(c.program, c.last, "third"))
		kinds[a.status]++
		if a.status == http.StatusNotFound || a.status == http.StatusGone {
			lost++
			s.logf("LOST: turn of program %s, previous turn %s answered whole %.1f s ago: %v", c.program, c.last, age.Seconds(), a)
		}
	}
	close(stop)
	wg.Wait()
	s.logf("third turns by status: %v; %d of %d were answered 404 or 410 though their previous turn is kept for 60 s", kinds, lost, agedPrograms)
	return lost > 0, nil
}
