package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// slowConnections is how many connections the client keeps to each front, and slowFor how long.
	slowConnections, slowFor = 1200, 50 * time.Second
	// slowBody is the length that each request declares; one byte of it arrives.
	slowBody = 1000
	// slowWarmUp is the time that the client takes to connect.
	slowWarmUp = 5 * time.Second
)

// slowbody has one client begin requests whose bodies don't arrive, and ordinary callers beside it. The fronts
// may close such connections; they must go on serving the others.
func slowbody(s *site, trouble bool) (int, error) {
	if err := s.open(4, 6, 3, false); err != nil {
		return cannotRun, err
	}
	began := time.Now()
	until := began.Add(slowFor)
	var clients sync.WaitGroup
	var mu sync.Mutex
	closed := 0
	if trouble {
		for _, f := range s.fronts {
			for n := range slowConnections {
				clients.Go(func() {
					time.Sleep(time.Duration(n) * slowWarmUp / slowConnections)
					for time.Now().Before(until) {
						c, err := net.DialTimeout("tcp", f.callers, time.Second)
						if err != nil {
							time.Sleep(200 * time.Millisecond)
							continue
						}
						fmt.Fprintf(c, "POST /nowhere/ HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\nx", newID(), slowBody)
						_ = c.SetReadDeadline(until)
						buffer := make([]byte, 512)
						for err = nil; err == nil; {
							_, err = c.Read(buffer)
						}
						c.Close()
						if time.Now().Before(until) {
							mu.Lock()
							closed++
							mu.Unlock()
							time.Sleep(200 * time.Millisecond)
						}
					}
				})
			}
		}
	}
	sent, served, statuses := 0, 0, map[string]int{}
	for n := 0; time.Now().Before(until); n++ {
		f, at := s.fronts[n%len(s.fronts)], time.Now()
		clients.Go(func() {
			id := newID()
			a := s.send(f, turn{id: id, program: "p-" + id, session: "s-" + id, input: "an ordinary question " + id, prompt: 600, budget: 2000}, nil)
			if at.Sub(began) < 2*slowWarmUp {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.whole {
				served++
				return
			}
			statuses[fmt.Sprintf("%d %s", a.status, a.body)]++
			s.note("ordinary turn %s at %s: status %d, %v %s", id, f.name, a.status, a.err, a.body)
		})
		time.Sleep(time.Until(at.Add(100 * time.Millisecond)))
	}
	clients.Wait()
	for _, f := range s.fronts {
		s.note("%s holds %.1f MB, ended by itself %d times", f.name, f.anonymousMB(), f.ownEnds)
	}
	s.note("fronts closed %d connections of the client meanwhile", closed)
	s.note("ordinary turns sent %d, answered whole %d; others %v", sent, served, statuses)
	if 4*served < sent {
		return broken, nil
	}
	return held, nil
}
