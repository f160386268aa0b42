package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { plays["expiry"] = playExpiry }

const (
	// expiryLog is retention_s of the platform's log, and expiryTurn retention_s of the route, in seconds.
	expiryLog, expiryTurn = 90, 60
	// expiryChains is the number of conversations, of three turns each.
	expiryChains = 12
	// expiryGap is the time between the turns of a conversation.
	expiryGap = 46 * time.Second
)

// playExpiry keeps conversations whose turns are less than the retention of the route apart, and kills all
// fronts at once before the third turn.
func playExpiry(r *record, trouble bool) (bool, error) {
	s, err := open(r, expiryLog*time.Second)
	if err != nil {
		return false, err
	}
	s.configure(1, []map[string]any{{
		"name": "quote", "hostname": host, "path_prefix": "/quote/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0,
		"service": "engines", "max_attempts": 1, "stateful": true, "retention_s": expiryTurn, "sticky": true, "resumable": false, "gap_aim_ms": 150,
	}}, []map[string]any{engineService("engines")})
	for i := range 2 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), slots: 8, record: r, events: 6, eventBytes: 95, firstAfter: 40 * time.Millisecond, gap: 5 * time.Millisecond}
		address, err := s.serve(w)
		if err != nil {
			return false, err
		}
		s.register(w.id, "engines", address, 8)
	}
	for _, name := range []string{"front-1", "front-2"} {
		if _, err := s.addFront(name, "a"); err != nil {
			return false, err
		}
	}
	awaitAll := func() error {
		for _, f := range s.fronts {
			if err := f.awaitReady(); err != nil {
				return err
			}
		}
		return nil
	}
	if err := awaitAll(); err != nil {
		return false, err
	}
	turn := func(chain int, previous string) (string, answer) {
		var id string
		var a answer
		for attempt := range 6 {
			id = newID("t")
			header := map[string]string{"Request-Id": id, "Program-Id": fmt.Sprintf("program-%d", chain), "Session-Id": fmt.Sprintf("session-%d", chain),
				"Program-Deadline-Ms": "100000", "Token-Budget": "20000", "Token-Usage": "700,290", "Deadline-Ms": "3000"}
			if previous != "" {
				header["Previous-Turn"] = previous
			}
			a = ask(s.fronts[(chain+attempt)%len(s.fronts)], http.MethodPost, "/quote/1", header, strings.NewReader("a question"), 4*time.Second)
			r.line("conversation %d, turn %s after %q: %s", chain, id, previous, a)
			if a.served() || a.status == http.StatusNotFound {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		return id, a
	}
	last := make([]string, expiryChains)
	answered := make([]time.Time, expiryChains)
	for round := range 2 {
		for chain := range expiryChains {
			id, a := turn(chain, last[chain])
			if !a.served() {
				return false, fmt.Errorf("turn %d of conversation %d is not served before the disruption: %s", round+1, chain, a)
			}
			last[chain], answered[chain] = id, time.Now()
		}
		time.Sleep(expiryGap)
	}
	if trouble {
		for _, f := range s.fronts {
			f.kill()
		}
		r.say("all fronts were killed")
		time.Sleep(time.Second)
		for _, f := range s.fronts {
			if err := f.start(); err != nil {
				return false, err
			}
		}
		if err := awaitAll(); err != nil {
			return false, err
		}
		r.say("all fronts are ready again")
	}
	lost := 0
	for chain := range expiryChains {
		age := time.Since(answered[chain])
		_, a := turn(chain, last[chain])
		if a.status == http.StatusNotFound && age < expiryTurn*time.Second {
			lost++
			r.line("conversation %d: 404, though the turn was answered whole %.1f s ago", chain, age.Seconds())
		}
	}
	for _, f := range s.fronts {
		f.warnings(r, 10)
	}
	r.say("%d of %d conversations were answered 404", lost, expiryChains)
	return lost > 0, nil
}
