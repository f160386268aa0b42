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
	// rebornClients is the number of clients with a stream each, of rebornEvents events.
	rebornClients, rebornEvents = 42, 70
	// rebornRounds is the number of pairs of workers that are replaced, rebornRound the time between two.
	rebornRounds = 12
	rebornRound  = 8 * time.Second
	// rebornAway is how long a worker is away.
	rebornAway = 3300 * time.Millisecond
	// rebornNext is how long after the return of the first worker the second one ends.
	rebornNext = 150 * time.Millisecond
	// mostJoined is the number of streams of two versions that the rule allows.
	mostJoined = 2
)

// The case "reborn" is no case of the review: workers crash and are back under their ids with another software
// version; see REPORT.md.
func init() {
	cases["reborn"] = scenario{siteConfig{fronts: 3, engines: 7, apps: 1, shards: 12, engineStep: 25 * time.Millisecond, appWork: 50 * time.Millisecond}, playReborn}
}

// resumedStream sends a resumable stream of its own text, and takes it up at other fronts until it is whole or its time is up.
func resumedStream(s *site, first int) (versions map[string]bool, whole bool, tries []string) {
	versions = map[string]bool{}
	until := time.Now().Add(3 * time.Second)
	last, began, text := 0, "", "tally of "+newID()
	for try := 0; try < 4 && time.Until(until) > 100*time.Millisecond; try++ {
		r := request{method: http.MethodPost, path: "/tally/1", body: text, deadline: time.Until(until), header: map[string]string{"Token-Usage": fmt.Sprintf("500,%d", rebornEvents*chunkTokens)}}
		if last > 0 {
			r.header["Last-Event-Id"], r.header["Resumes"] = strconv.Itoa(last), began
		}
		a := send(s.fronts[(first+try)%len(s.fronts)], r)
		for block := range strings.SplitSeq(a.body, "\n\n") {
			id, data, ok := strings.Cut(block, "\ndata: ")
			if !ok {
				continue
			}
			last, _ = strconv.Atoi(strings.TrimPrefix(id, "id: "))
			if began == "" {
				began = a.id
			}
			_, version, _ := strings.Cut(strings.TrimRight(data, "y"), " version ")
			versions[strings.TrimSpace(version)] = true
		}
		tries = append(tries, fmt.Sprintf("%s status %d up to event %d", a.id, a.status, last))
		if a.served() && last == rebornEvents {
			return versions, true, tries
		}
	}
	return versions, false, tries
}

func playReborn(s *site) (bool, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	joined, taken, whole, all := 0, 0, 0, 0
	stop := make(chan struct{})
	for n := range rebornClients {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(300)) * time.Millisecond):
				}
				versions, ok, tries := resumedStream(s, n)
				mu.Lock()
				all++
				if ok {
					whole++
				}
				if len(tries) > 1 {
					taken++
				}
				if len(versions) > 1 {
					joined++
					s.logf("ORDER: a stream holds events of %v: %v", versions, tries)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	for round := range rebornRounds {
		began := time.Now()
		if s.trouble {
			a, b := s.engines[2*round%len(s.engines)], s.engines[(2*round+1)%len(s.engines)]
			version := fmt.Sprintf("v%d", 2+2*round/len(s.engines))
			s.logf("%s crashes and is back as %s after %s; %s crashes %s later", a.id, version, rebornAway, b.id, rebornNext)
			a.crashInto(rebornAway, version)
			time.Sleep(rebornAway + rebornNext)
			b.crashInto(rebornAway, version)
		}
		time.Sleep(time.Until(began.Add(rebornRound)))
	}
	close(stop)
	wg.Wait()
	s.logf("streams: %d, whole: %d, taken up again: %d; with events of two versions: %d, allowed %d", all, whole, taken, joined, mostJoined)
	return joined > mostJoined, nil
}
