// Program review-2 plays the cases of the second review: it starts fronts as processes beside
// stand-ins of the platform, its servers and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the scripts by name; each returns whether its rule held.
var cases = map[string]func(s *site, trouble bool) (bool, error){
	"kept-turns":      keptTurns,
	"long-history":    longHistory,
	"long-names":      longNames,
	"full-store":      fullStore,
	"two-outages":     twoOutages,
	"unnamed-answers": unnamedAnswers,
	"taken-up":        takenUp,
}

// longest bounds a case; its processes are ended then.
const longest = 112 * time.Second

// machines is the number of fronts of each case.
var machines = map[string]int{"full-store": 8}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play returns the exit code of a case: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
func play(name, folder string) int {
	run, ok := cases[name]
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil || !ok {
		fmt.Fprintln(os.Stderr, "the case can't run:", name, err)
		return 2
	}
	defer rec.close()
	count := machines[name]
	if count == 0 {
		count = 3
	}
	s, err := newSite(rec, count)
	if s != nil {
		defer s.close()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		go func() {
			select {
			case <-stop:
			case <-time.After(longest):
			}
			rec.printf("the case couldn't run within %s", longest)
			s.close()
			rec.close()
			os.Exit(2)
		}()
	}
	held := false
	if err == nil {
		held, err = run(s, os.Getenv("TROUBLE") != "0")
	}
	if s != nil {
		for _, f := range s.fronts {
			f.mu.Lock()
			rec.printf("%s: at most %d kB resident of %d kB, %d processes, %d killed for memory, %d ended by themselves", f.name, f.peakKB, memoryMB<<10, f.started, f.killedForMemory, f.ownEnds)
			f.mu.Unlock()
		}
	}
	switch {
	case err != nil:
		rec.printf("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	case held:
		rec.printf("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	rec.printf("the rule was broken")
	fmt.Println("the rule was broken")
	return 1
}

// withinMemory reports whether all processes stayed within the memory of their machines and lived.
func (s *site) withinMemory() bool {
	held := true
	for _, f := range s.fronts {
		f.mu.Lock()
		held = held && f.killedForMemory == 0 && f.ownEnds == 0 && f.peakKB <= memoryMB<<10
		f.mu.Unlock()
	}
	return held
}
