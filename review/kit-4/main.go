// Command kit4 plays the cases of review/ that this review adds. It is called by their scripts from the
// root of the repository, with the name of the case and the folder of its record.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// longestRun bounds a run.
	longestRun = 118 * time.Second
)

// play plays a case and reports whether the rule was broken.
type play func(r *record, trouble bool) (bool, error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit4 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %v", os.Args[1], trouble)
	type outcome struct {
		broken bool
		err    error
	}
	outcomes := make(chan outcome, 1)
	go func() {
		broken, err := plays[os.Args[1]](r, trouble)
		outcomes <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	var o outcome
	select {
	case o = <-outcomes:
	case <-stop:
		o.err = fmt.Errorf("stopped by a signal")
	case <-time.After(longestRun):
		o.err = fmt.Errorf("not done after %s", longestRun)
	}
	endAll()
	switch {
	case o.err != nil:
		r.say("the case could not run: %v", o.err)
		os.Exit(exitNotRun)
	case o.broken:
		r.say("the rule was broken")
		os.Exit(exitBroken)
	}
	r.say("the rule held")
	os.Exit(exitHeld)
}

// sites are those that have been opened.
var sites []*site

func open(r *record, retention time.Duration) (*site, error) {
	s, err := newSite(r, retention)
	if s != nil {
		sites = append(sites, s)
	}
	return s, err
}

func endAll() {
	for _, s := range sites {
		s.close()
	}
}
