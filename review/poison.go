package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// poisonBody is the body of the request that crashes each worker that runs it.
	poisonBody = "boom"
	// poisonPause is the time between two tries of its caller.
	poisonPause = 1500 * time.Millisecond
	// crashTime is how long a crashed worker is away.
	crashTime = 3 * time.Second
	// contact is contact_ms.
	contact = 3 * time.Second
	// poisonKills is how often all fronts are killed, poisonSpan the time before each of them and at the end.
	poisonKills = 2
	poisonSpan  = 18 * time.Second
	// mostRetries is the number of retries that may reach workers.
	mostRetries = 3
)

func init() {
	cases["poison"] = scenario{siteConfig{fronts: 3, engines: 1, apps: 6, shards: 12, engineStep: 15 * time.Millisecond, appWork: 50 * time.Millisecond}, playPoison}
}

func playPoison(s *site) (bool, error) {
	type crash struct {
		id, worker string
		at         time.Time
	}
	crashes := make(chan crash, 1000)
	for _, w := range s.apps {
		w.spoil = func(_ http.ResponseWriter, r *http.Request) bool {
			if w.lastBody() != poisonBody {
				return false
			}
			crashes <- crash{r.Header.Get("Request-Id"), w.id, time.Now()}
			w.crash(crashTime)
			panic(http.ErrAbortHandler)
		}
	}
	var third, restarted time.Time
	seen, retries := 0, 0
	for kill := 0; ; kill++ {
		for until := time.Now().Add(poisonSpan); time.Now().Before(until); {
			sentAt := time.Now()
			f := s.fronts[seen%len(s.fronts)]
			a := send(f, request{method: http.MethodPost, path: "/pay/7", body: poisonBody, deadline: 1500 * time.Millisecond, header: map[string]string{"Program-Id": "p1", "Session-Id": "s1"}})
			s.logf("to %s: %v", f.name, a)
			for len(crashes) > 0 {
				c := <-crashes
				seen++
				s.logf("crash %d: request %s crashed %s", seen, c.id, c.worker)
				if seen == 3 {
					third = c.at
				}
				if seen > 3 && sentAt.Sub(third) > contact && sentAt.Sub(restarted) > contact {
					retries++
					s.logf("RETRY %d: %.1f s after the third crash, %.1f s after the last restart of a machine", retries, sentAt.Sub(third).Seconds(), sentAt.Sub(restarted).Seconds())
				}
			}
			time.Sleep(poisonPause)
		}
		if kill == poisonKills {
			break
		}
		if !s.trouble {
			continue
		}
		for _, f := range s.fronts {
			f.kill()
		}
		s.logf("all %d fronts are killed at the same moment", len(s.fronts))
		time.Sleep(restartDelay)
		for _, f := range s.fronts {
			if err := f.start(); err != nil {
				return false, err
			}
		}
		if err := awaitReady(s.fronts, 10*time.Second); err != nil {
			return false, err
		}
		restarted = time.Now()
		time.Sleep(contact + time.Second)
	}
	if seen < 3 {
		return false, fmt.Errorf("the request crashed %d workers only", seen)
	}
	s.logf("crashes: %d; retries that reached workers later than contact_ms after the third: %d, allowed %d", seen, retries, mostRetries)
	return retries > mostRetries, nil
}
