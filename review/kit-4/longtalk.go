package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { plays["longtalk"] = playLongTalk }

const (
	// longtalkBody is the length of the body of each turn: below max_body_bytes (4,194,304).
	longtalkBody = 4_194_304 - 1_024
	// longtalkShort is that length without the disruption.
	longtalkShort = 1 << 20
	// longtalkTurns is the number of turns before the one that is judged, and longtalkTries how often that
	// one is sent: twice each of three times, as clients do.
	longtalkTurns, longtalkTries = 6, 6
	// longtalkMemory is the memory of an engine, in tokens of longtalkTokenBytes bytes: it holds the
	// conversation several times.
	longtalkMemory, longtalkTokenBytes = 64_000_000, 4
)

// longtalkZones are the fronts of the site omuti, by zone.
var longtalkZones = []struct {
	name   string
	fronts int
}{{"a", 3}, {"b", 3}, {"c", 2}}

// playLongTalk has a client in one zone hold conversations whose turns are as long as the limits allow.
func playLongTalk(r *record, trouble bool) (bool, error) {
	s, err := open(r, 300*time.Second)
	if err != nil {
		return false, err
	}
	s.configure(1, []map[string]any{{
		"name": "quote", "hostname": host, "path_prefix": "/quote/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0,
		"service": "engines", "max_attempts": 1, "stateful": true, "retention_s": 60, "sticky": true, "resumable": false, "gap_aim_ms": 150,
	}}, []map[string]any{{"name": "engines", "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 8, "kv_capacity": longtalkMemory, "chunk_tokens": 13}}})
	var workers []*worker
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), slots: 8, record: r, events: 6, eventBytes: 95, firstAfter: 40 * time.Millisecond, gap: 5 * time.Millisecond}
		address, err := s.serve(w)
		if err != nil {
			return false, err
		}
		s.register(w.id, "engines", address, 8)
		workers = append(workers, w)
	}
	for _, zone := range longtalkZones {
		for n := range zone.fronts {
			if _, err := s.addFront(fmt.Sprintf("front-%s-%d", zone.name, n+1), zone.name); err != nil {
				return false, err
			}
		}
	}
	for _, f := range s.fronts {
		if err := f.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	length := longtalkShort
	if trouble {
		length = longtalkBody
	}
	// Attempts of one client reach the fronts of its zone in turn.
	attempts := 0
	nearby := s.fronts[len(s.fronts)-longtalkZones[len(longtalkZones)-1].fronts:]
	tokens := map[string]int{}
	send := func(program, previous string) (string, answer) {
		f := nearby[attempts%len(nearby)]
		attempts++
		id := newID("t")
		header := map[string]string{"Request-Id": id, "Program-Id": program, "Session-Id": program, "Program-Deadline-Ms": "60000", "Token-Budget": "20000", "Deadline-Ms": "3000",
			"Token-Usage": fmt.Sprintf("%d,290", tokens[previous]+length/longtalkTokenBytes)}
		if previous != "" {
			header["Previous-Turn"] = previous
		}
		tokens[id] = tokens[previous] + length/longtalkTokenBytes + 78
		a := ask(f, http.MethodPost, "/quote/1", header, strings.NewReader(strings.Repeat("q", length)), 4*time.Second)
		r.line("%s at %s, turn %s after %q: %s", program, f.name, id, previous, a)
		return id, a
	}
	reached := func(id string) bool {
		for _, w := range workers {
			w.mu.Lock()
			_, ok := w.bodies[id]
			w.mu.Unlock()
			if ok {
				return true
			}
		}
		return false
	}
	lost := 0
	for _, program := range []string{"program-2", "program-3"} {
		previous := ""
		var answered time.Time
		for n := range longtalkTurns {
			tries, served := 0, false
			var id string
			for ; tries < longtalkTries && !served; tries++ {
				var a answer
				if id, a = send(program, previous); a.served() {
					served = true
				} else {
					time.Sleep(300 * time.Millisecond)
				}
				if reached(id) {
					tries = 0
				}
			}
			if served {
				previous, answered = id, time.Now()
				continue
			}
			if n == 0 {
				return false, fmt.Errorf("the first turn of %s is not served", program)
			}
			_, first := send(program+"-other", "")
			r.say("%s: turn %d reached no worker in %d tries; the turn before it was answered whole %.1f s ago; a first turn at once after that: %s", program, n+1, tries, time.Since(answered).Seconds(), first)
			if first.served() {
				lost++
			}
			break
		}
		for _, f := range s.fronts {
			now, peak := f.residentKB()
			r.line("%s: %d kB resident, at most %d", f.name, now, peak)
		}
	}
	for _, f := range nearby {
		f.warnings(r, 10)
	}
	r.say("%d of 2 conversations could not go on", lost)
	return lost > 0, nil
}
