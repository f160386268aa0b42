package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// quiet is how long the fronts rest without callers before their levels are compared.
	quiet = 3 * time.Second
)

// Config holds the settings of a run.
type Config struct {
	// Binary is the path of the daemon.
	Binary string
	// Out is the folder in which a failed run leaves its logs, in a folder of its own.
	Out string
	// Seed determines the schedule and what callers send.
	Seed     uint64
	Duration time.Duration
	// Fronts is the number of fronts.
	Fronts int
	// Faults holds the faults that are drawn.
	Faults []Fault
	// GraceSlack is how much longer than the grace period a process may take to end.
	GraceSlack time.Duration
	// ReadyTime is how long a process may take to become ready while nothing disturbs it.
	ReadyTime time.Duration
	// RecoveryTime is the time in which each front must serve again after the last fault.
	RecoveryTime time.Duration
	// Keep keeps the folder of a run that has not failed.
	Keep bool
}

// Result is the outcome of a run.
type Result struct {
	seed       uint64
	verdict    string
	violations []violation
	notes      []violation
	counts     map[string]int
	faults     int
	folder     string
}

// Seed returns the seed of the run.
func (r Result) Seed() uint64 { return r.seed }

// Failed reports whether a rule was broken.
func (r Result) Failed() bool { return len(r.violations) > 0 }

// Verdict returns one line on the outcome.
func (r Result) Verdict() string { return r.verdict }

// Folder returns the folder with the logs.
func (r Result) Folder() string { return r.folder }

// Run plays the schedule of a seed once.
func Run(config Config) (Result, error) {
	if config.Fronts < 1 || config.Duration < firstFault+calm || config.Binary == "" {
		return Result{}, Errorf("run", KindInvalid, "a run needs a binary, a front and at least %s", firstFault+calm)
	}
	dir := filepath.Join(config.Out, fmt.Sprintf("seed-%d", config.Seed))
	if err := os.RemoveAll(dir); err != nil {
		return Result{}, Errorf("run", KindSystem, "%w", err)
	}
	s, err := newSite(config, dir)
	if err != nil {
		return Result{}, err
	}
	defer s.close()
	events := draw(config.Seed, config.Duration, config.Faults)
	for _, f := range s.fronts {
		if err := f.start(launch{name: "first"}, nil); err != nil {
			return Result{}, err
		}
	}
	s.playAll(config, events)
	for _, f := range s.fronts {
		s.checkLevel(f)
	}
	var closing sync.WaitGroup
	for _, f := range s.fronts {
		closing.Go(f.close)
	}
	closing.Wait()
	s.observer.finish()
	return s.result(config, events)
}

// playAll runs callers and faults, and after the last fault lets the fronts recover and rest.
func (s *site) playAll(config Config, events []event) {
	stop := make(chan struct{})
	var playing sync.WaitGroup
	playing.Go(func() { s.play(config.Seed, stop) })
	s.inject(events, stop)
	s.recover(config.RecoveryTime)
	time.Sleep(time.Until(s.observer.began.Add(config.Duration)))
	close(stop)
	playing.Wait()
	time.Sleep(quiet)
}

// recover checks that each front serves a request of each kind after the last fault.
func (s *site) recover(limit time.Duration) {
	c := &caller{site: s, conns: map[int]*callerConn{}}
	defer c.close()
	until := time.Now().Add(limit)
	for i, f := range s.fronts {
		for kind, r := range map[string]request{
			"payment": {method: "POST", path: "/pay/1", body: "payment", deadline: usualDeadline},
			"stream":  {method: "POST", path: "/story/1", body: "story", deadline: usualDeadline, header: map[string]string{"Token-Usage": "500,65"}},
		} {
			for {
				a := c.send("last "+kind, i, r, attempt{once: true, maxRuns: 1})
				if a.served() {
					break
				}
				if time.Now().After(until) {
					s.observer.report("RECOVER", "%s serves no %s %s after the last fault: status %d, %v %.200s", f.name, kind, limit, a.status, a.err, a.body)
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// checkLevel compares what a front holds with what it held when it became ready.
func (s *site) checkLevel(f *front) {
	p := f.process()
	if !p.runs() || !p.isReady() {
		return
	}
	after := p.measure()
	p.mu.Lock()
	before := p.before
	p.mu.Unlock()
	s.logf("%s: %+v when ready, %+v after the callers have gone", p.name, before, after)
	if wrong := after.filesFault(before); wrong != "" {
		s.observer.report("FAULT", "%s %s", p.name, wrong)
	}
}

// result writes the verdict and the schedule to the folder of the run, or removes the folder if
// no rule was broken.
func (s *site) result(config Config, events []event) (Result, error) {
	s.observer.mu.Lock()
	defer s.observer.mu.Unlock()
	r := Result{seed: config.Seed, violations: s.observer.violations, notes: s.observer.notes, counts: s.observer.counts, faults: len(events), folder: s.dir}
	rules := map[string]int{}
	for _, v := range r.violations {
		rules[v.rule]++
	}
	r.verdict = fmt.Sprintf("seed %d: held; %d faults, %d streams of two versions", r.seed, len(events), s.observer.joined)
	if r.Failed() {
		r.verdict = fmt.Sprintf("seed %d: BROKEN %s; first: %s", r.seed, summary(rules), r.violations[0])
	}
	if !r.Failed() && !config.Keep {
		r.folder = ""
		if err := os.RemoveAll(s.dir); err != nil {
			return r, Errorf("remove logs", KindSystem, "%w", err)
		}
		return r, nil
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n\nbinary %s, %d fronts, %s, faults %v\n\n", r.verdict, config.Binary, config.Fronts, config.Duration, config.Faults)
	for _, v := range append(append([]violation(nil), r.violations...), r.notes...) {
		fmt.Fprintln(&text, v)
	}
	fmt.Fprintf(&text, "\nanswers:\n%s\n\nschedule:\n", strings.ReplaceAll(summary(r.counts), ", ", "\n"))
	for _, e := range events {
		fmt.Fprintln(&text, e)
	}
	if err := os.WriteFile(filepath.Join(s.dir, "verdict.txt"), []byte(text.String()), 0o600); err != nil {
		return r, Errorf("write verdict", KindSystem, "%w", err)
	}
	return r, nil
}

// summary lists counts in the order of their names.
func summary(counts map[string]int) string {
	var out []string
	for name, count := range counts {
		out = append(out, fmt.Sprintf("%s %d", name, count))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
