package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["names"] = playNames }

const (
	// namesClients is the number of connections that send turns of programs that are over their budget,
	// one each namesPause, for namesTime.
	namesClients, namesPause, namesTime = 8, 50 * time.Millisecond, 60 * time.Second
	// namesLong is the length of a Program-Id: the heads stay under max_header_bytes (16,384).
	namesLong = 15_000
)

// playNames has clients that begin programs whose names are long, and whose budgets don't hold one turn:
// each is answered 402 at once. The memory of the front is measured meanwhile.
func playNames(r *record, trouble bool) (bool, error) {
	s, err := open(r, 300*time.Second)
	if err != nil {
		return false, err
	}
	s.configure(1, []map[string]any{{
		"name": "tally", "hostname": host, "path_prefix": "/tally/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2,
		"service": "engines", "max_attempts": 1, "stateful": false, "retention_s": 60, "sticky": true, "resumable": true, "gap_aim_ms": 150,
	}}, []map[string]any{engineService("engines")})
	w := &worker{id: "i-1", slots: 8, record: r, events: 6, eventBytes: 95, firstAfter: 40 * time.Millisecond, gap: 5 * time.Millisecond}
	address, err := s.serve(w)
	if err != nil {
		return false, err
	}
	s.register(w.id, "engines", address, 8)
	f, err := s.addFront("front-1", "a")
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	ordinary := func() answer {
		return ask(f, http.MethodPost, "/tally/1", map[string]string{
			"Request-Id": newID("o"), "Program-Id": newID("p"), "Session-Id": newID("s"), "Program-Deadline-Ms": "20000", "Token-Budget": "2288", "Token-Usage": "700,290", "Deadline-Ms": "3000",
		}, strings.NewReader("a prompt"), 4*time.Second)
	}
	if a := ordinary(); !a.served() {
		return false, fmt.Errorf("an ordinary request is not served at the start: %s", a)
	}
	now, peak := f.residentKB()
	r.say("front-1 at the start: %d kB resident, at most %d", now, peak)
	length := 16
	if trouble {
		length = namesLong
	}
	var sent, refused, other atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(namesTime)
	for range namesClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", f.callers, time.Second)
				if err != nil {
					other.Add(1)
					time.Sleep(namesPause)
					continue
				}
				in := bufio.NewReader(conn)
				for time.Now().Before(end) {
					program := newID("p")
					program += strings.Repeat("x", length-len(program))
					_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
					_, err := fmt.Fprintf(conn, "POST /tally/9 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nProgram-Id: %s\r\nSession-Id: s\r\nToken-Budget: 1\r\nToken-Usage: 700,290\r\nDeadline-Ms: 3000\r\nContent-Length: 8\r\n\r\na prompt", host, newID("u"), program)
					if err != nil {
						other.Add(1)
						break
					}
					response, err := http.ReadResponse(in, nil)
					if err != nil {
						other.Add(1)
						break
					}
					_, _ = io.Copy(io.Discard, response.Body)
					sent.Add(1)
					if response.StatusCode == http.StatusPaymentRequired {
						refused.Add(1)
					} else {
						other.Add(1)
					}
					if response.Close {
						break
					}
					time.Sleep(namesPause)
				}
				_ = conn.Close()
			}
		}()
	}
	broken := false
	for time.Now().Before(end) {
		time.Sleep(2 * time.Second)
		now, peak = f.residentKB()
		r.line("front-1: %d kB resident, at most %d; %d requests answered, %d of them with 402; an ordinary request: %s", now, peak, sent.Load(), refused.Load(), ordinary())
		if f.ended() {
			r.say("front-1 has ended by itself")
			return true, nil
		}
		if peak > memoryMB<<10 && !broken {
			broken = true
			r.say("front-1 holds more than its %d MB after %d requests", memoryMB, sent.Load())
		}
	}
	clients.Wait()
	time.Sleep(15 * time.Second)
	now, peak = f.residentKB()
	r.say("front-1, 15 s after the last of them: %d kB resident, at most %d; %d requests answered, %d of them with 402, %d other outcomes", now, peak, sent.Load(), refused.Load(), other.Load())
	f.warnings(r, 10)
	return broken, nil
}
