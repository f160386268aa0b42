// Command review-3 plays the cases of this review against processes of the project.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// caseLimit is the longest time of a case.
const caseLimit = 112 * time.Second

// outcome of a case.
const (
	held = iota
	broken
	cannotRun
)

var cases = map[string]func(s *site, trouble bool) (int, error){
	"slowbody": slowbody,
	"torn":     torn,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE FOLDER")
		return cannotRun
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	var once sync.Once
	end := func() { once.Do(s.close) }
	defer end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		s.note("the case is cut off")
		end()
		os.Exit(cannotRun)
	}()
	result, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	s.note("result %d (0 the rule held, 1 it was broken)", result)
	fmt.Println([]string{"the rule held", "the rule was broken"}[result])
	return result
}
