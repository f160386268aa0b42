package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// runOnPrograms is the number of programs, runOnTurns that of the turns of each.
	runOnPrograms, runOnTurns = 60, 4
	// runOnBudget is the budget of a program in tokens, runOnMost the most of one turn.
	runOnBudget, runOnMost = 400, 78
	// runOnShare is the share of its answers that the worker in trouble does not end.
	runOnShare = 0.02
)

// The case "runon" is no case of the review: a worker does not end some of its answers; see REPORT.md.
func init() {
	cases["runon"] = scenario{siteConfig{fronts: 2, engines: 2, apps: 1, shards: 12, engineStep: 15 * time.Millisecond, appWork: 50 * time.Millisecond}, playRunOn}
}

// runOn sends a whole answer, and then its last event again and again until the caller closes.
func runOn(w *worker, count *int, mu *sync.Mutex) func(out http.ResponseWriter, r *http.Request) bool {
	return func(out http.ResponseWriter, r *http.Request) bool {
		if rand.Float64() >= runOnShare {
			return false
		}
		mu.Lock()
		*count++
		mu.Unlock()
		id := r.Header.Get("Request-Id")
		out.Header().Set("Response-Stamp", "stamp."+w.id+"."+id)
		out.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(out)
		for event := 1; ; event++ {
			select {
			case <-time.After(w.work):
			case <-r.Context().Done():
				return true
			}
			number := min(event, runOnMost/chunkTokens)
			if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", number, eventData(w.id, id, number)); err != nil {
				return true
			}
			_ = controller.Flush()
		}
	}
}

func playRunOn(s *site) (bool, error) {
	var mu sync.Mutex
	count, over := 0, 0
	if s.trouble {
		s.engines[0].spoil = runOn(s.engines[0], &count, &mu)
	}
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() {
			for p := n; p < 12*runOnPrograms; p += 12 {
				program, tokens := fmt.Sprintf("program-%d", p), 0
				for t := 0; t < runOnTurns; t++ {
					a := send(s.fronts[p%len(s.fronts)], request{method: http.MethodPost, path: "/tally/1", body: "tally", deadline: 3 * time.Second, header: map[string]string{
						"Token-Usage": "500," + strconv.Itoa(runOnMost), "Program-Id": program, "Session-Id": program, "Token-Budget": strconv.Itoa(runOnBudget),
					}})
					got := strings.Count(a.body, "\n\n") * chunkTokens
					tokens += got
					if got > runOnMost {
						s.logf("program %s, turn %d: %d tokens handed out, Token-Usage allows %d: %v", program, t+1, got, runOnMost, a)
					}
				}
				if tokens > runOnBudget+runOnMost {
					mu.Lock()
					over++
					mu.Unlock()
					s.logf("OVER: program %s was handed %d tokens; its Token-Budget is %d, the most of one turn %d", program, tokens, runOnBudget, runOnMost)
				}
			}
		})
	}
	wg.Wait()
	s.logf("answers without end: %d; programs over their budget: %d of %d", count, over, 12*runOnPrograms)
	return over > 0, nil
}
