package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// recoveryTime is recovery_s.
	recoveryTime = 12 * time.Second
	// longPrograms is the number of programs with a long conversation, longTurns that of their
	// turns before the fault and longInput the bytes of new input of each.
	longPrograms, longTurns, longInput = 60, 13, 24000
	// shortClients is the number of clients that run short programs all the time.
	shortClients = 24
	// measured is how long requests are counted before the fault and after the recovery.
	measured = 15 * time.Second
)

func init() {
	cases["history"] = scenario{siteConfig{fronts: 3, engines: 6, apps: 2, shards: 12, engineStep: 5 * time.Millisecond, appWork: 50 * time.Millisecond}, playHistory}
}

// turnRequest is a turn of a program on the route that keeps what was said.
func turnRequest(program, previous, input string) request {
	r := request{method: http.MethodPost, path: "/quote/1", body: input, deadline: 3 * time.Second, header: map[string]string{
		"Program-Id": program, "Session-Id": program, "Token-Budget": "20000", "Token-Usage": fmt.Sprintf("%d,26", len(input)/2), "Program-Deadline-Ms": "20000",
	}}
	if previous != "" {
		r.header["Previous-Turn"] = previous
	}
	return r
}

// counts holds how many requests were sent and served in the spans that are compared.
type counts struct {
	mu           sync.Mutex
	sent, served map[string]int
	notServed    map[string]int
}

func (c *counts) add(span string, a answer) {
	if span == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[span]++
	if a.served() {
		c.served[span]++
		return
	}
	kind := fmt.Sprintf("%s: status %d", span, a.status)
	if a.err != nil && a.status != 0 {
		kind += ", broken off"
	}
	c.notServed[kind]++
}

func (c *counts) share(span string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.served[span]) / float64(max(1, c.sent[span]))
}

// sendTurn sends a turn until it is answered whole, three tries at most, to one front after the other.
func sendTurn(s *site, c *counts, span func() string, first int, r request) (answer, bool) {
	for try := range 3 {
		in := span()
		a := send(s.fronts[(first+try)%len(s.fronts)], r)
		c.add(in, a)
		if a.served() {
			return a, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return answer{}, false
}

func playHistory(s *site) (bool, error) {
	c := &counts{sent: map[string]int{}, served: map[string]int{}, notServed: map[string]int{}}
	input := strings.Repeat("z", longInput)
	last := make([]string, longPrograms)
	failed := 0
	var wg sync.WaitGroup
	var mu sync.Mutex
	none := func() string { return "" }
	limit := make(chan struct{}, 12)
	for n := range longPrograms {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			for range longTurns {
				a, ok := sendTurn(s, c, none, n, turnRequest(fmt.Sprintf("long-%d", n), last[n], input))
				if !ok {
					mu.Lock()
					failed++
					mu.Unlock()
					return
				}
				last[n] = a.id
			}
		})
	}
	wg.Wait()
	s.logf("%d programs ran %d turns of %d bytes of input each; %d failed", longPrograms, longTurns, longInput, failed)
	if failed > 0 {
		return false, fmt.Errorf("%d of the long programs failed before the fault", failed)
	}

	var spanMu sync.Mutex
	current := "before"
	span := func() string {
		spanMu.Lock()
		defer spanMu.Unlock()
		return current
	}
	setSpan := func(name string) {
		spanMu.Lock()
		defer spanMu.Unlock()
		current = name
	}
	stop := make(chan struct{})
	for n := range shortClients {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(2, uint64(n)))
			for program := 0; ; program++ {
				previous := ""
				for range 4 {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))):
					}
					a, ok := sendTurn(s, c, span, n, turnRequest(fmt.Sprintf("short-%d-%d", n, program), previous, "one lot of pods"))
					if !ok {
						break
					}
					previous = a.id
				}
			}
		})
	}
	time.Sleep(measured)
	setSpan("")
	if s.trouble {
		s.configure()
		for _, f := range s.fronts {
			f.kill()
		}
		s.logf("final fault: the operator has written a configuration, and all %d processes are killed", len(s.fronts))
		time.Sleep(time.Second)
		for _, f := range s.fronts {
			if err := f.start(); err != nil {
				return false, err
			}
		}
		if err := awaitReady(s.fronts, recoveryTime); err != nil {
			s.logf("%v", err)
		}
		s.logf("the machines are back")
	}
	back := time.Now()
	for n := range longPrograms {
		wg.Go(func() {
			// After a final fault new programs go on from turns of before.
			program := fmt.Sprintf("long-%d", n)
			if s.trouble {
				program = fmt.Sprintf("new-%d", n)
			}
			a, ok := sendTurn(s, c, none, n, turnRequest(program, last[n], "and then?"))
			s.logf("program %s goes on from turn %s: ok=%v %v", program, last[n], ok, a)
		})
	}
	time.Sleep(time.Until(back.Add(recoveryTime)))
	setSpan("after")
	time.Sleep(measured)
	setSpan("")
	close(stop)
	wg.Wait()
	s.logf("appends that the store refused because a record is longer than record_bytes: %d", s.store.refusedTooLong)
	s.logf("before: %.3f of %d requests served; after recovery_s: %.3f of %d", c.share("before"), c.sent["before"], c.share("after"), c.sent["after"])
	s.logf("not served: %v", c.notServed)
	return c.share("before") >= 0.25 && c.share("after") < 0.25, nil
}
