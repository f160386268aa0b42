// Command drive plays the cases of a review against fronts that run as processes.
package main

import (
	"os"
	"path/filepath"
)

const (
	// The exit codes of a case.
	held, broken, notRun = 0, 1, 2
)

// cases holds the cases by name. Each returns whether its rule was broken, or false if it couldn't run.
var cases = map[string]struct {
	config config
	play   func(s *site, trouble bool) (broken, ran bool)
}{
	"bodies":  {config{events: 4, gap: 2e6, fronts: 4}, playBodies},
	"leaving": {config{events: 18, gap: 150e6, bare: true}, playLeaving},
	"resumed": {config{events: 8, gap: 60e6, resumable: true}, playResumed},
	"context": {config{events: 6, gap: 50e6}, playContext},
	"ids":     {config{events: 4, gap: 2e6}, playIDs},
}

func main() {
	os.Exit(play())
}

func play() (code int) {
	c, ok := cases[os.Args[1]]
	if !ok {
		return notRun
	}
	root, err := filepath.Abs(os.Args[2])
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	out, err := os.Create("record.txt")
	must(err)
	defer func() { _ = out.Close() }()
	s, ready := newSite(root, dir, out, c.config)
	defer s.stop()
	go s.endEarly()
	if !ready {
		s.record.logf("the fronts are not ready")
		return notRun
	}
	wrong, ran := c.play(s, os.Getenv("TROUBLE") != "0")
	for _, f := range s.fronts {
		s.record.logf("%s: at most %.0f MiB of %d MiB, killed %d times for it", f.name, f.peakMB, memoryMB, f.overs)
	}
	switch {
	case !ran:
		s.record.logf("the case couldn't run")
		return notRun
	case wrong:
		s.record.logf("the rule was broken")
		return broken
	}
	s.record.logf("the rule held")
	return held
}
