// Command harness plays the scripts of the review: it starts the fronts of the project as
// separate processes and plays clients, workers, the operator and the platform's store.
//
//	harness CASE FRONT-BINARY RECORD
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"strconv"
)

// scenario is the site of a case, and what plays it there and reports whether the rule was broken.
type scenario struct {
	site siteConfig
	play func(s *site) (broken bool, err error)
}

// cases holds the scenarios by the names of their cases.
var cases = map[string]scenario{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FRONT-BINARY RECORD")
		os.Exit(2)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(os.Args[2], os.Args[3], c))
}

func run(binary, record string, c scenario) int {
	if n, err := strconv.Atoi(os.Getenv("FRONTS")); err == nil {
		c.site.fronts = n
	}
	s, err := newSite(binary, record, os.Getenv("TROUBLE") != "0", c.site)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return 2
	}
	broken, err := c.play(s)
	if err != nil {
		s.logf("can't run: %v", err)
		fmt.Fprintln(os.Stderr, "can't run:", err)
		return 2
	}
	if broken {
		s.logf("BROKEN")
		return 1
	}
	s.logf("held")
	return 0
}
