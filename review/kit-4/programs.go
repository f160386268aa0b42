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

func init() { plays["programs"] = playPrograms }

const (
	// programsClients is the number of connections that send a first turn of a new program each, one after
	// the other, for programsTime.
	programsClients, programsTime = 150, 60 * time.Second
)

// playPrograms has clients that begin very many programs with names of usual length, or, without trouble,
// that send the same requests outside of programs.
func playPrograms(r *record, trouble bool) (bool, error) {
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
	var sent atomic.Int64
	statuses := map[int]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(programsTime)
	for range programsClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", f.callers, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				in := bufio.NewReader(conn)
				for time.Now().Before(end) {
					_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
					program := ""
					if trouble {
						program = fmt.Sprintf("Program-Id: %s\r\nSession-Id: %s\r\nToken-Budget: 2000\r\n", newID("p"), newID("s"))
					}
					_, err := fmt.Fprintf(conn, "POST /tally/9 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%sToken-Usage: 700,290\r\nDeadline-Ms: 150\r\nContent-Length: 8\r\n\r\na prompt", host, newID("u"), program)
					if err != nil {
						break
					}
					response, err := http.ReadResponse(in, nil)
					if err != nil {
						break
					}
					_, _ = io.Copy(io.Discard, response.Body)
					sent.Add(1)
					mu.Lock()
					statuses[response.StatusCode]++
					mu.Unlock()
					if response.Close {
						break
					}
				}
				_ = conn.Close()
			}
		}()
	}
	for time.Now().Before(end) {
		time.Sleep(5 * time.Second)
		now, peak := f.residentKB()
		r.line("front-1: %d kB resident, at most %d; %d requests answered", now, peak, sent.Load())
		if f.ended() {
			r.say("front-1 has ended by itself")
			return true, nil
		}
	}
	clients.Wait()
	r.say("answers by status: %v", statuses)
	time.Sleep(10 * time.Second)
	now, peak := f.residentKB()
	r.say("front-1, 10 s after the last of them: %d kB resident, at most %d, of %d MB; %d requests answered", now, peak, memoryMB, sent.Load())
	a := ask(f, http.MethodPost, "/tally/1", map[string]string{"Request-Id": newID("o"), "Deadline-Ms": "3000"}, strings.NewReader("x"), 4*time.Second)
	r.say("an ordinary request: %s", a)
	return peak > memoryMB<<10, nil
}
