package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// allowedJoined is the number of streams of two software versions that the platform allows.
	allowedJoined = 2
	// allowedRetried is the number of requests that may run at more endpoints than their route
	// allows, and allowedDenied that of proper requests that may be refused as improper.
	allowedRetried, allowedDenied = 3, 10
	// retention is how long turns are kept; allowance is what a check leaves of it.
	retention, allowance = 60 * time.Second, 2 * time.Second
)

// violation is a rule that was broken.
type violation struct {
	at   time.Duration
	rule string
	text string
}

// String returns the violation as a line.
func (v violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", v.at.Seconds(), v.rule, v.text)
}

// run is a request that an endpoint began to work on.
type run struct {
	id, endpoint, body string
	at                 time.Time
	// excused returns whether the endpoint was disrupted soon after; nil means that it was not.
	excused func() bool
}

// attempt is what a caller knows of a request of its own.
type attempt struct {
	// once means that the request may run once at most.
	once bool
	// body is the body that an endpoint must receive, empty for that of the caller.
	body string
	// maxRuns is the number of endpoints that may run the request.
	maxRuns int
	// improper means that some configurations refuse the request.
	improper bool
	status   int
}

// turn is a turn that a caller received whole.
type turn struct {
	// text is the conversation up to the end of the turn.
	text string
	at   time.Time
}

// observer collects what callers and endpoints see and checks it. It is safe for concurrent use.
type observer struct {
	began time.Time
	// mu guards the fields below.
	mu         sync.Mutex
	violations []violation
	// notes lists what is allowed a few times.
	notes    []violation
	attempts map[string]*attempt
	runs     map[string][]run
	turns    map[string]turn
	// handedTokens counts the tokens that each program received.
	handedTokens map[string]int
	overBudget   map[string]bool
	joined       int
	denied       int
	// counts counts answers by the kind of request and its outcome.
	counts map[string]int
	// newest is the newest configuration seen through each process.
	newest map[string]int
}

func newObserver() *observer {
	return &observer{
		began: time.Now(), attempts: map[string]*attempt{}, runs: map[string][]run{}, turns: map[string]turn{},
		handedTokens: map[string]int{}, overBudget: map[string]bool{}, counts: map[string]int{}, newest: map[string]int{},
	}
}

// report records that a rule was broken.
func (o *observer) report(rule, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reportLocked(rule, format, args...)
}

func (o *observer) reportLocked(rule, format string, args ...any) {
	o.violations = append(o.violations, violation{at: time.Since(o.began), rule: rule, text: fmt.Sprintf(format, args...)})
}

// note records something that breaks no rule by itself.
func (o *observer) note(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notes = append(o.notes, violation{at: time.Since(o.began), rule: "note", text: fmt.Sprintf(format, args...)})
}

// sent records a request before it is sent.
func (o *observer) sent(id string, a attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts[id] = &a
}

// ran records that an endpoint began to work on a request.
func (o *observer) ran(r run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[r.id] = append(o.runs[r.id], r)
}

// answered checks what holds for every answer, and records its status. proper means that every
// configuration allows the request.
func (o *observer) answered(kind string, a answer, proper bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	outcome := fmt.Sprint(a.status)
	if a.err != nil {
		outcome += " broken off"
	}
	o.counts[kind+" "+outcome]++
	if known := o.attempts[a.id]; known != nil && a.err == nil {
		known.status = a.status
	}
	if a.status == 0 {
		return
	}
	if echoed := a.header.Get("Request-Id"); echoed != "" && echoed != a.id {
		o.reportLocked("MIXED", "%s to %s bears the ID %s", kind, a.id, echoed)
	}
	if a.status/100 == 2 && a.header.Get("Response-Stamp") == "" {
		o.reportLocked("MIXED", "%s to %s is a success without the stamp of an endpoint", kind, a.id)
	}
	if improper := a.status/100 == 4 && a.status != 402 && a.status != 408 && a.status != 421 && a.status != 429; improper && proper {
		if o.denied++; o.denied == allowedDenied+1 {
			o.reportLocked("DENIED", "%d proper requests were refused as improper, the last one %s with status %d", o.denied, a.id, a.status)
		}
	}
}

// handed counts the tokens that a program received in an answer.
func (o *observer) handed(program string, tokens, budget, most int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handedTokens[program] += tokens
	if total := o.handedTokens[program]; total > budget+most && !o.overBudget[program] {
		o.overBudget[program] = true
		o.reportLocked("BUDGET", "program %s received %d tokens, its budget is %d and a turn has %d", program, total, budget, most)
	}
}

// kept records a turn that was answered whole.
func (o *observer) kept(id, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.turns[id] = turn{text: text, at: time.Now()}
}

// turnOf returns a turn that was answered whole.
func (o *observer) turnOf(id string) turn {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.turns[id]
}

// continued checks the answer to a turn that continues another one.
func (o *observer) continued(previous string, a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept, ok := o.turns[previous]
	if age := a.ended.Sub(kept.at); ok && a.err == nil && (a.status == 404 || a.status == 410) && age < retention-allowance {
		o.reportLocked("LOST", "turn %s was answered %d, though %s was answered whole %s before", a.id, a.status, previous, age.Round(time.Millisecond))
	}
}

// configured checks that a process that has shown a configuration shows no older one. found tells
// whether a route that came with version was known; newest is the newest version that the process
// had shown when the request was sent.
func (o *observer) configured(process string, version, newest int, found bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if found {
		o.newest[process] = max(o.newest[process], version)
	} else if version <= newest {
		o.reportLocked("CONFIG", "%s does not know a route of version %d after it has shown version %d", process, version, newest)
	}
}

// newestOf returns the newest configuration that a process has shown.
func (o *observer) newestOf(process string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest[process]
}

// finish checks what is known only at the end of a run.
func (o *observer) finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	retried := 0
	for id, runs := range o.runs {
		a := o.attempts[id]
		if a == nil {
			o.reportLocked("UNASKED", "%s ran at %s, though no caller sent it", id, runs[0].endpoint)
			continue
		}
		for _, r := range runs {
			if r.body != a.body {
				o.reportLocked("UNASKED", "%s ran at %s with a body of %d bytes, expected %d", id, r.endpoint, len(r.body), len(a.body))
			}
		}
		if a.once && len(runs) > 1 {
			o.reportLocked("TWICE", "%s ran %d times: %s", id, len(runs), places(runs))
		}
		switch refused := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421; {
		case refused && a.once, a.status == 402:
			o.reportLocked("REFUSED", "%s was answered %d and ran: %s", id, a.status, places(runs))
		}
		counted := 0
		for _, r := range runs {
			if r.excused == nil || !r.excused() {
				counted++
			}
		}
		if !a.once && counted > a.maxRuns {
			if retried++; retried == allowedRetried+1 {
				o.reportLocked("BUDGET", "%d requests ran at more endpoints than their route allows, the last one %s: %s", retried, id, places(runs))
			}
		}
	}
	if o.joined > allowedJoined {
		o.reportLocked("ORDER", "%d streams hold events of two software versions, %d are allowed", o.joined, allowedJoined)
	}
}

// places returns where and when a request ran.
func places(runs []run) string {
	var out []string
	for _, r := range runs {
		out = append(out, r.endpoint+" at "+r.at.Format("05.000"))
	}
	return strings.Join(out, ", ")
}
