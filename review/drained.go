package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// drainedRounds is the number of releases, drainedRound the time between two.
	drainedRounds = 12
	drainedRound  = 7 * time.Second
	// drainedClients is the number of clients with a stream each, drainedEvents that of the events of a stream.
	drainedClients, drainedEvents = 45, 100
	// drainedAtOnce is how many workers are replaced at once: x of release.
	drainedAtOnce = 2
	// resetAfter is how long after the workers reported draining the connections are reset.
	resetAfter = 600 * time.Millisecond
	// resetShare is the share of a front's connections that are reset: x of reset_conns.
	resetShare = 0.55
	// endAfter is when the old workers end: drain_ms and a little longer.
	endAfter = 5 * time.Second
	// mostOver is the number of requests with too many attempts that the rule allows.
	mostOver = 3
)

// The case "drained" is no case of the review; see REPORT.md.
func init() {
	cases["drained"] = scenario{siteConfig{fronts: 3, engines: 8, apps: 1, shards: 12, engineStep: 20 * time.Millisecond, appWork: 50 * time.Millisecond}, playDrained}
}

// reset closes a connection as a reset on its way does.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// callers holds the connections of clients, by the front that they go to.
type callers struct {
	mu    sync.Mutex
	conns map[net.Conn]*front
}

// client returns a client whose connections to a front are known to c.
func (c *callers) client(f *front) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
		if err == nil {
			c.mu.Lock()
			c.conns[conn] = f
			c.mu.Unlock()
		}
		return conn, err
	}}}
}

// reset resets a share of the connections to a front.
func (c *callers) reset(f *front, share float64) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, to := range c.conns {
		if to == f && rand.Float64() < share {
			reset(conn)
			count++
		}
	}
	clear(c.conns)
	return count
}

func playDrained(s *site) (bool, error) {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	known := &callers{conns: map[net.Conn]*front{}}
	var mu sync.Mutex
	statuses := map[string]int{}
	for n := range drainedClients {
		wg.Go(func() {
			f := s.fronts[n%len(s.fronts)]
			via := known.client(f)
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
				}
				a := sendVia(via, f, request{method: http.MethodPost, path: "/tally/1", body: "tally", deadline: 3 * time.Second, header: map[string]string{
					"Token-Usage": fmt.Sprintf("500,%d", drainedEvents*chunkTokens), "Program-Id": fmt.Sprintf("%s-%s", f.name, newID()),
				}}, func(string) {})
				mu.Lock()
				statuses[fmt.Sprintf("%d cut=%v", a.status, a.err != nil)]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	for round := range drainedRounds {
		began := time.Now()
		if s.trouble {
			var old []*worker
			for i := range drainedAtOnce {
				w := s.engines[(round*drainedAtOnce+i)%len(s.engines)]
				w.setState("draining")
				old = append(old, w)
			}
			time.Sleep(resetAfter)
			f := s.fronts[round%len(s.fronts)]
			count := known.reset(f, resetShare)
			for _, w := range s.engines {
				count += w.resetFrom(f.name, resetShare)
			}
			s.logf("round %d: %s and %s are draining; %d connections of %s are reset", round, old[0].id, old[1].id, count, f.name)
			time.Sleep(time.Until(began.Add(endAfter)))
			for _, w := range old {
				w.restart()
			}
		}
		time.Sleep(time.Until(began.Add(drainedRound)))
	}
	close(stop)
	wg.Wait()
	runs := map[string][]execution{}
	for _, w := range s.engines {
		for _, e := range w.executed() {
			runs[e.id] = append(runs[e.id], e)
		}
	}
	over := 0
	for id, ex := range runs {
		if len(ex) < 2 {
			continue
		}
		over++
		var at []string
		for _, e := range ex {
			at = append(at, fmt.Sprintf("%s at %.3f", e.worker, e.at.Sub(s.began).Seconds()))
		}
		s.logf("OVER: request %s ran on %s; max_attempts is 1", id, strings.Join(at, ", "))
	}
	s.logf("answers: %v", statuses)
	s.logf("requests that ran on more workers than max_attempts: %d, allowed %d", over, mostOver)
	return over > mostOver, nil
}
