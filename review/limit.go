package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The case "limit" is no case of the review: workers name Server-Limit while fronts are killed, frozen and
// stopped in turn. All requests count, also those of the fronts that the rule excuses.
func init() {
	cases["limit"] = scenario{siteConfig{fronts: 4, engines: 1, apps: 3, shards: 12, engineStep: 15 * time.Millisecond, appWork: 10 * time.Millisecond}, playLimit}
}

// playLimit checks the rule LIMIT for a limit of 10 requests a second.
func playLimit(s *site) (bool, error) {
	until := time.Now().Add(60 * time.Second)
	limited := time.Now().Add(5 * time.Second)
	for _, w := range s.apps {
		w.spoil = func(out http.ResponseWriter, r *http.Request) bool {
			if time.Now().After(limited) {
				out.Header().Set("Server-Limit", "10")
			}
			return false
		}
	}
	var wg sync.WaitGroup
	for n := range 60 {
		wg.Go(func() {
			for time.Now().Before(until) {
				send(s.fronts[n%len(s.fronts)], request{method: http.MethodGet, path: "/alert/1", deadline: 1200 * time.Millisecond})
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for i := 0; time.Now().Before(until.Add(-8 * time.Second)); i++ {
			time.Sleep(3 * time.Second)
			f := s.fronts[i%len(s.fronts)]
			switch i % 3 {
			case 0:
				s.logf("kill %s", f.name)
				f.kill()
				time.Sleep(300 * time.Millisecond)
				_ = f.start()
			case 1:
				s.logf("freeze %s", f.name)
				f.signal(syscall.SIGSTOP)
				time.Sleep(2 * time.Second)
				f.signal(syscall.SIGCONT)
			case 2:
				s.logf("term %s", f.name)
				f.signal(syscall.SIGTERM)
				done := f.done
				go func() { <-done; time.Sleep(300 * time.Millisecond); _ = f.start() }()
			}
		}
	})
	wg.Wait()
	broken := false
	for _, w := range s.apps {
		ex := w.executed()
		most := 0
		for i := range ex {
			if ex[i].at.Before(limited.Add(3 * time.Second)) {
				continue
			}
			n := 0
			for j := i; j < len(ex) && ex[j].at.Sub(ex[i].at) < 4*time.Second; j++ {
				n++
			}
			most = max(most, n)
		}
		s.logf("%s: most %d in 4 s; allowed 65", w.id, most)
		broken = broken || most > 65
	}
	return broken, nil
}
