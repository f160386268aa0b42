package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// plannedLength is how long clients send requests.
	plannedLength = 75 * time.Second
	// lossSlack is loss_slack_ms.
	lossSlack = 200 * time.Millisecond
)

// The case "planned" is no case of the review: fronts are stopped in turn, workers replaced and configurations
// written, and nothing else, while clients keep their connections.
func init() {
	cases["planned"] = scenario{siteConfig{fronts: 4, engines: 6, apps: 4, shards: 12, engineStep: 15 * time.Millisecond, appWork: 60 * time.Millisecond}, playPlanned}
}

// rotation is what the platform knows of the fronts: those that it sends new connections to.
type rotation struct {
	mu     sync.Mutex
	misses map[*front]int
}

func (r *rotation) watch(s *site, until time.Time) {
	for time.Now().Before(until) {
		for _, f := range s.fronts {
			ready := f.isReady()
			r.mu.Lock()
			if ready {
				r.misses[f] = 0
			} else {
				r.misses[f]++
			}
			r.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
}

func (r *rotation) pick(s *site) *front {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*front
	for _, f := range s.fronts {
		if r.misses[f] < 2 {
			in = append(in, f)
		}
	}
	if len(in) == 0 {
		return s.fronts[0]
	}
	return in[rand.IntN(len(in))]
}

// playPlanned checks the rule LOST around planned work.
func playPlanned(s *site) (bool, error) {
	until := time.Now().Add(plannedLength)
	r := &rotation{misses: map[*front]int{}}
	var wg sync.WaitGroup
	wg.Go(func() { r.watch(s, until) })
	type cut struct {
		a    answer
		path string
	}
	var mu sync.Mutex
	var cuts []cut
	statuses := map[string]int{}
	for n := range 60 {
		wg.Go(func() {
			var f *front
			dialed := false
			via := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second, Dial: func(network, address string) (net.Conn, error) {
				dialed = true
				return net.DialTimeout(network, address, time.Second)
			}}}
			for turn := 0; time.Now().Before(until); turn++ {
				if f == nil || dialed && turn%40 == 39 {
					f = r.pick(s)
				}
				q := request{method: http.MethodPost, path: "/pay/1", body: "pay", deadline: 3 * time.Second}
				switch n % 3 {
				case 0:
					q = turnRequest(fmt.Sprintf("p-%d-%d", n, turn), "", "input")
				case 1:
					q = request{method: http.MethodGet, path: "/alert/1", deadline: 1200 * time.Millisecond}
				}
				a := sendVia(via, f, q, func(string) {})
				mu.Lock()
				statuses[fmt.Sprintf("%s %d cut=%v", q.path, a.status, a.err != nil)]++
				if a.err != nil {
					cuts = append(cuts, cut{a, q.path})
				}
				mu.Unlock()
				if a.err != nil || a.status == 503 || a.header.Get("Connection") == "close" {
					f = nil
				}
				time.Sleep(time.Duration(rand.IntN(80)) * time.Millisecond)
			}
		})
	}
	if s.trouble {
		wg.Go(func() {
			for i := 0; time.Now().Before(until.Add(-12 * time.Second)); i++ {
				time.Sleep(2 * time.Second)
				f := s.fronts[i%len(s.fronts)]
				f.signal(syscall.SIGTERM)
				s.logf("SIGTERM %s", f.name)
				f.mu.Lock()
				done := f.done
				f.mu.Unlock()
				w := append(append([]*worker{}, s.engines...), s.apps...)[i%(len(s.engines)+len(s.apps))]
				w.setState("draining")
				s.configure()
				<-done
				w.restart()
				time.Sleep(restartDelay)
				_ = f.start()
			}
		})
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, w := range append(append([]*worker{}, s.engines...), s.apps...) {
		for _, e := range w.executed() {
			ran[e.id] = true
		}
	}
	lost := 0
	for _, c := range cuts {
		if ran[c.a.id] || c.a.status != 0 || c.a.took > lossSlack {
			lost++
			s.logf("LOST: %s %v ran=%v", c.path, c.a, ran[c.a.id])
		}
	}
	s.logf("answers: %v; lost around planned work: %d", statuses, lost)
	return lost > 0, nil
}
