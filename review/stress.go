package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "stress" is no case of the review: it mixes disruptions by the seed in SEED for as many seconds as
// SECONDS says, and checks the rules below after each answer and at the end.
//
//	TWICE, REFUSED, MIXED, UNASKED, LOST (404 for a kept turn), BUDGET (tokens and workers)
func init() {
	cases["stress"] = scenario{siteConfig{fronts: 4, engines: 6, apps: 4, shards: 12, engineStep: 8 * time.Millisecond, appWork: 40 * time.Millisecond}, playStress}
}

// keptTurn is a turn that was answered whole.
type keptTurn struct {
	// text is the conversation up to and including the turn.
	text string
	// at is when the answer ended.
	at time.Time
}

// stress is a site with what its clients know.
type stress struct {
	*site
	mu sync.Mutex
	// turns holds the turns that can be continued.
	turns map[string]keptTurn
	// expected holds the body that a worker must get for each request.
	expected map[string]string
	// statuses counts the answers.
	statuses map[string]int
	// refused holds the statuses that promise that a request has not run.
	refused map[string]int
	// once holds the requests that may run once at most.
	once map[string]bool
	// tokens counts the tokens that each program was handed.
	tokens map[string]int
	// broken lists what was broken.
	broken []string
}

// fail notes that a rule was broken.
func (x *stress) fail(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	x.broken = append(x.broken, text)
	x.logf("BROKEN %s", text)
}

// note counts an answer and remembers its promise.
func (x *stress) note(kind string, a answer, once bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.statuses[fmt.Sprintf("%s %d err=%v", kind, a.status, a.err != nil)]++
	if once {
		x.once[a.id] = true
	}
	switch a.status {
	case 429, 503, 408, 421, 402:
		x.refused[a.id] = a.status
	}
}

// turn sends a turn and checks its answer.
func (x *stress) turn(random *rand.Rand, program, path, previous, input string, budget, most int) answer {
	r := request{method: http.MethodPost, path: path, body: input, deadline: 3 * time.Second, header: map[string]string{
		"Program-Id": program, "Session-Id": program, "Token-Budget": strconv.Itoa(budget), "Token-Usage": fmt.Sprintf("%d,%d", 500, most), "Program-Deadline-Ms": "20000",
	}}
	var before keptTurn
	if previous != "" {
		r.header["Previous-Turn"] = previous
		x.mu.Lock()
		before = x.turns[previous]
		x.mu.Unlock()
	}
	f := x.fronts[random.IntN(len(x.fronts))]
	sentAt := time.Now()
	a := sendExpecting(x, f, r, before.text+input)
	x.note(path, a, path != "/tally/1")
	got := strings.Count(a.body, "\n\n") * chunkTokens
	x.mu.Lock()
	x.tokens[program] += got
	total := x.tokens[program]
	x.mu.Unlock()
	if total > budget+most {
		x.fail("BUDGET: program %s got %d tokens, budget %d, one turn %d", program, total, budget, most)
	}
	if a.served() {
		want := most / chunkTokens
		if strings.Count(a.body, "\n\n") != want {
			x.fail("MIXED: %v has %d events of %d", a, strings.Count(a.body, "\n\n"), want)
		}
		if path == "/quote/1" {
			x.mu.Lock()
			x.turns[a.id] = keptTurn{text: before.text + input + events(a.body), at: time.Now()}
			x.mu.Unlock()
		}
	}
	if previous != "" && (a.status == 404 || a.status == 410) && a.err == nil && time.Since(before.at) < 59*time.Second {
		x.fail("LOST: %v previous %s of %.1f s before", a, previous, sentAt.Sub(before.at).Seconds())
	}
	return a
}

// sendExpecting sends a request and notes the body that a worker must get.
func sendExpecting(x *stress, f *front, r request, body string) answer {
	return sendNoted(f, r, func(id string) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.expected[id] = body
	})
}

func playStress(s *site) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	seconds := 60
	if v := os.Getenv("SECONDS"); v != "" {
		seconds, _ = strconv.Atoi(v)
	}
	x := &stress{site: s, turns: map[string]keptTurn{}, expected: map[string]string{}, statuses: map[string]int{}, refused: map[string]int{}, once: map[string]bool{}, tokens: map[string]int{}}
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	var wg sync.WaitGroup
	for n := range 12 { // programs with kept turns
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, 100+uint64(n)))
			for p := 0; time.Now().Before(until); p++ {
				program, previous := fmt.Sprintf("kept-%d-%d", n, p), ""
				for t := 0; t < 8 && time.Now().Before(until); t++ {
					a := x.turn(random, program, "/quote/1", previous, fmt.Sprintf("input %d of %s ", t, program), 20*65, 65)
					if a.served() {
						previous = a.id
					} else {
						time.Sleep(100 * time.Millisecond)
					}
					time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
				}
				if previous != "" { // others go on from it, at once and later
					other := fmt.Sprintf("other-%d-%d", n, p)
					_ = x.turn(random, other, "/quote/1", previous, "and then", 20*65, 65)
					go func() {
						random := rand.New(rand.NewPCG(seed, 1000+uint64(n*1000+p)))
						time.Sleep(time.Duration(5+random.IntN(40)) * time.Second)
						if time.Now().Before(until) {
							_ = x.turn(random, other+"-later", "/quote/1", previous, "and much later", 20*65, 65)
						}
					}()
				}
			}
		})
	}
	for n := range 6 { // programs without end, several lines each
		wg.Go(func() {
			for p := 0; time.Now().Before(until); p++ {
				program := fmt.Sprintf("loop-%d-%d", n, p)
				var lines sync.WaitGroup
				for l := range 4 {
					lines.Go(func() {
						random := rand.New(rand.NewPCG(seed, 300+uint64(n*100+l)))
						for denied := 0; denied < 4 && time.Now().Before(until); {
							if a := x.turn(random, program, "/tally/1", "", "tally", 130*12, 130); a.status == 402 {
								denied++
								time.Sleep(500 * time.Millisecond)
							} else if !a.served() {
								time.Sleep(100 * time.Millisecond)
							}
						}
					})
				}
				lines.Wait()
			}
		})
	}
	for n := range 10 { // plain requests
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, 400+uint64(n)))
			for time.Now().Before(until) {
				f := s.fronts[random.IntN(len(s.fronts))]
				r, once := request{method: http.MethodPost, path: "/pay/1", body: "pay " + newID(), deadline: 3 * time.Second}, true
				if random.IntN(3) == 0 {
					r, once = request{method: http.MethodGet, path: "/alert/1", deadline: 1200 * time.Millisecond}, false
				}
				a := sendExpecting(x, f, r, r.body)
				x.note(r.path, a, once)
				if a.served() && !strings.Contains(a.body, " to "+a.id+" ") || a.served() && len(a.body) != 800 {
					x.fail("MIXED: %v", a)
				}
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			}
		})
	}
	if s.trouble {
		wg.Go(func() { x.disrupt(rand.New(rand.NewPCG(seed, 1)), until) })
	}
	wg.Wait()
	time.Sleep(time.Second)
	runs := map[string][]execution{}
	for _, w := range append(append([]*worker{}, s.engines...), s.apps...) {
		for _, r := range w.executed() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	for id, rs := range runs {
		if x.once[id] && len(rs) > 1 {
			x.fail("TWICE: %s ran %d times", id, len(rs))
		}
		if !x.once[id] && len(rs) > 2 {
			x.fail("BUDGET: %s ran %d times", id, len(rs))
		}
		if status, ok := x.refused[id]; ok && (x.once[id] || status == 402) {
			x.fail("REFUSED: %s was answered %d and ran", id, status)
		}
		if want, ok := x.expected[id]; !ok || rs[0].body != want {
			x.fail("UNASKED: %s ran with a body of %d bytes, %d expected", id, len(rs[0].body), len(want))
		}
	}
	s.logf("answers: %v", x.statuses)
	s.logf("%d broken", len(x.broken))
	return len(x.broken) > 0, nil
}

// disrupt causes a disruption after another.
func (x *stress) disrupt(random *rand.Rand, until time.Time) {
	for time.Now().Before(until.Add(-6 * time.Second)) {
		time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
		f := x.fronts[random.IntN(len(x.fronts))]
		switch kind := random.IntN(11); kind {
		case 0, 1:
			down := time.Duration(300+random.IntN(3500)) * time.Millisecond
			x.logf("kill %s for %s", f.name, down)
			f.kill()
			go func() { time.Sleep(down); _ = f.start() }()
		case 2:
			span := time.Duration(500+random.IntN(3500)) * time.Millisecond
			x.logf("freeze %s for %s", f.name, span)
			f.signal(syscall.SIGSTOP)
			go func() { time.Sleep(span); f.signal(syscall.SIGCONT) }()
		case 3:
			x.logf("SIGTERM %s", f.name)
			f.signal(syscall.SIGTERM)
			done := f.done
			go func() {
				select {
				case <-done:
				case <-time.After(8 * time.Second):
					f.signal(syscall.SIGKILL)
				}
				time.Sleep(restartDelay)
				_ = f.start()
			}()
			time.Sleep(2 * time.Second)
		case 4, 5, 6:
			span := time.Duration(1000+random.IntN(5000)) * time.Millisecond
			mode := random.IntN(5)
			x.logf("store fault %d for %s", mode, span)
			x.store.setFault(func(path string) storeFault {
				switch mode {
				case 0:
					return storeFault{silent: true}
				case 1:
					return storeFault{refuse: true}
				case 2:
					return storeFault{lose: rand.Float64() < 0.35}
				case 3:
					return storeFault{lose: rand.Float64() < 0.35, delay: time.Duration(1+rand.IntN(5)) * time.Second}
				}
				return storeFault{silent: rand.Float64() < 0.5}
			})
			go func() { time.Sleep(span); x.store.setFault(nil) }()
			if random.IntN(2) == 0 {
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				x.logf("and kill %s", f.name)
				f.kill()
				go func() { time.Sleep(time.Second); _ = f.start() }()
			}
		case 7:
			x.store.setSlow(50)
			x.logf("store slow")
			go func() { time.Sleep(3 * time.Second); x.store.setSlow(1) }()
		case 8:
			x.logf("kill all")
			for _, f := range x.fronts {
				f.kill()
			}
			time.Sleep(500 * time.Millisecond)
			for _, f := range x.fronts {
				_ = f.start()
			}
			_ = awaitReady(x.fronts, 8*time.Second)
		case 9:
			x.configure()
		case 10:
			w := append(append([]*worker{}, x.engines...), x.apps...)[random.IntN(len(x.engines)+len(x.apps))]
			x.logf("worker %s drains for 3 s", w.id)
			w.setState("draining")
			go func() { time.Sleep(3 * time.Second); w.restart() }()
		}
	}
	x.store.setFault(nil)
}
