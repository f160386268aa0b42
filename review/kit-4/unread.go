package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["unread"] = playUnread }

const (
	// unreadWorkers are the servers of the engines' service, unreadSlots the slots of each.
	unreadWorkers, unreadSlots = 3, 8
	// unreadApps are the servers of the plain service, unreadAppSlots the slots of each.
	unreadApps, unreadAppSlots = 2, 6
	// unreadClients is the number of connections whose answers are not read.
	unreadClients = 60
	// unreadRequests is how many requests each of them sends at most, one each unreadPause.
	unreadRequests, unreadPause = 24, 500 * time.Millisecond
	// unreadDeadline is the header Deadline-Ms of these clients.
	unreadDeadline = "600000"
	// unreadSettle is the time after their last request in which all that runs ends: it is longer than the
	// route's timeout of 3 s.
	unreadSettle = 12 * time.Second
	// unreadJudged is how long ordinary requests are counted.
	unreadJudged = 20 * time.Second
)

// dialSmall opens a connection with a small window, as that of a client which is far away.
func dialSmall(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		})
	}}
	return d.Dial("tcp", address)
}

// playUnread has clients that send proper streaming requests to one front and don't read the answers. Beside
// them ordinary clients send streaming requests and payments to both fronts.
func playUnread(r *record, trouble bool) (bool, error) {
	s, err := open(r, 300*time.Second)
	if err != nil {
		return false, err
	}
	s.configure(1, []map[string]any{{
		"name": "tally", "hostname": host, "path_prefix": "/tally/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2,
		"service": "engines", "max_attempts": 1, "stateful": false, "retention_s": 60, "sticky": true, "resumable": true, "gap_aim_ms": 150,
	}, {
		"name": "pay", "hostname": host, "path_prefix": "/pay/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "service": "app", "max_attempts": 1,
	}}, []map[string]any{engineService("engines"), plainService("app")})
	var workers []*worker
	for i := range unreadWorkers {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), slots: unreadSlots, record: r, events: 22, eventBytes: 570, firstAfter: 40 * time.Millisecond, gap: 5 * time.Millisecond}
		address, err := s.serve(w)
		if err != nil {
			return false, err
		}
		s.register(w.id, "engines", address, unreadSlots)
		workers = append(workers, w)
	}
	for i := range unreadApps {
		w := &worker{id: fmt.Sprintf("a-%d", i+1), slots: unreadAppSlots, record: r, work: 50 * time.Millisecond}
		address, err := s.serve(w)
		if err != nil {
			return false, err
		}
		s.register(w.id, "app", address, unreadAppSlots)
	}
	for _, name := range []string{"front-1", "front-2"} {
		if _, err := s.addFront(name, "a"); err != nil {
			return false, err
		}
	}
	for _, f := range s.fronts {
		if err := f.awaitReady(); err != nil {
			return false, err
		}
	}
	ordinary := func(f *front) answer {
		return ask(f, http.MethodPost, "/tally/1", map[string]string{"Request-Id": newID("o"), "Token-Usage": "700,290", "Deadline-Ms": "3000"}, strings.NewReader("a prompt"), 4*time.Second)
	}
	pay := func(f *front) answer {
		return ask(f, http.MethodPost, "/pay/1", map[string]string{"Request-Id": newID("p"), "Deadline-Ms": "3000"}, strings.NewReader("a payment"), 4*time.Second)
	}
	for _, f := range s.fronts {
		if a, b := ordinary(f), pay(f); !a.served() || !b.served() {
			return false, fmt.Errorf("ordinary requests are not served at the start: %s, %s", a, b)
		}
	}
	var conns sync.WaitGroup
	var open, closedByFront, sent atomic.Int64
	stop := make(chan struct{})
	leave := sync.OnceFunc(func() { close(stop) })
	defer leave()
	began := time.Now()
	for range unreadClients {
		conns.Add(1)
		go func() {
			defer conns.Done()
			conn, err := dialSmall(s.fronts[0].callers)
			if err != nil {
				r.line("a client can't connect: %v", err)
				return
			}
			open.Add(1)
			if !trouble {
				// The same requests of a client that reads.
				go func() {
					buffer := make([]byte, 4096)
					for {
						if _, err := conn.Read(buffer); err != nil {
							return
						}
					}
				}()
			}
			go func() {
				<-stop
				_ = conn.Close()
			}()
			for range unreadRequests {
				_, err := fmt.Fprintf(conn, "POST /tally/9 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nToken-Usage: 700,290\r\nDeadline-Ms: %s\r\nContent-Length: 8\r\n\r\na prompt", host, newID("u"), unreadDeadline)
				if err != nil {
					closedByFront.Add(1)
					return
				}
				sent.Add(1)
				time.Sleep(unreadPause)
			}
		}()
	}
	conns.Wait()
	r.say("%d clients have sent %d requests in %.1f s; %d of their connections were closed", open.Load(), sent.Load(), time.Since(began).Seconds(), closedByFront.Load())
	time.Sleep(unreadSettle)
	for _, w := range workers {
		r.say("server %s: %d requests run so far, %d at work now", w.id, w.ran.Load(), w.running.Load())
	}
	kinds := []struct {
		name          string
		send          func(*front) answer
		asked, served atomic.Int64
	}{{name: "streaming", send: ordinary}, {name: "payment", send: pay}}
	var asking sync.WaitGroup
	for _, f := range s.fronts {
		for i := range kinds {
			k := &kinds[i]
			asking.Add(1)
			go func() {
				defer asking.Done()
				for end := time.Now().Add(unreadJudged); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
					a := k.send(f)
					k.asked.Add(1)
					if a.served() {
						k.served.Add(1)
					}
					r.line("ordinary %s at %s: %s", k.name, f.name, a)
				}
			}()
		}
	}
	asking.Wait()
	share := func(i int) float64 { return float64(kinds[i].served.Load()) / float64(max(1, kinds[i].asked.Load())) }
	all := float64(kinds[0].served.Load()+kinds[1].served.Load()) / float64(max(1, kinds[0].asked.Load()+kinds[1].asked.Load()))
	for i := range kinds {
		r.say("ordinary requests of kind %s: %d, %d served", kinds[i].name, kinds[i].asked.Load(), kinds[i].served.Load())
	}
	for _, f := range s.fronts {
		f.warnings(r, 10)
	}
	for _, w := range workers {
		r.say("server %s: %d requests run in all, %d at work now", w.id, w.ran.Load(), w.running.Load())
	}
	leave()
	time.Sleep(2 * time.Second)
	for _, f := range s.fronts {
		r.say("an ordinary request at %s after the others have left: %s", f.name, ordinary(f))
	}
	// A kind of request is starved if it is served less than a quarter as often as all requests.
	return share(0) < all/4, nil
}
