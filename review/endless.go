package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// endlessLength is how long clients send requests.
	endlessLength = 80 * time.Second
	// endlessClients is the number of clients, endlessPause the mean pause of one.
	endlessClients = 40
	endlessPause   = 600 * time.Millisecond
	// endlessShare is the share of its answers that the worker in trouble spoils.
	endlessShare = 0.02
	// endlessEvent is the size of the piece that it repeats, the largest of the sheet's.
	endlessEvent = 570
	// frontLink is link_mbps of a front, 1,000, in bytes a second.
	frontLink = 125e6
	// killsForFault and frontsForFault are the numbers of the rule.
	killsForFault, frontsForFault = 3, 2
)

func init() {
	cases["endless"] = scenario{siteConfig{fronts: 4, engines: 3, apps: 3, shards: 12, engineStep: 15 * time.Millisecond, appWork: 50 * time.Millisecond}, playEndless}
}

// spoiler makes a worker answer a share of its requests with bytes that don't end.
type spoiler struct {
	mu sync.Mutex
	// freeAt is until when the link is in use.
	freeAt time.Time
	// count is the number of answers spoiled.
	count int
}

// spoil sends the head of a stream and then the same piece again and again, until the caller closes.
func (p *spoiler) spoil(w http.ResponseWriter, r *http.Request) bool {
	if rand.Float64() >= endlessShare {
		return false
	}
	p.mu.Lock()
	p.count++
	p.mu.Unlock()
	w.Header().Set("Response-Stamp", "stamp."+r.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	piece := append(append([]byte("id: 1\ndata: "), bytes.Repeat([]byte{'y'}, endlessEvent)...), "\n\n"...)
	part := bytes.Repeat(piece, 1+(64<<10)/len(piece))
	for {
		p.mu.Lock()
		now := time.Now()
		if p.freeAt.Before(now) {
			p.freeAt = now
		}
		p.freeAt = p.freeAt.Add(time.Duration(float64(len(part)) / frontLink * float64(time.Second)))
		wait := p.freeAt.Sub(now)
		p.mu.Unlock()
		time.Sleep(wait)
		if _, err := w.Write(part); err != nil {
			return true
		}
	}
}

// memoryGuard does what the platform does with a front: it kills the process when it exceeds memory_mb,
// and starts it again.
type memoryGuard struct {
	mu sync.Mutex
	// kills counts the kills of each front, most holds its greatest memory in MB.
	kills  map[string]int
	most   map[string]int
	ending bool
}

func (g *memoryGuard) watch(s *site, f *front) {
	for {
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
		ending := g.ending
		g.mu.Unlock()
		if ending {
			return
		}
		used := f.memory()
		g.mu.Lock()
		g.most[f.name] = max(g.most[f.name], int(used))
		g.mu.Unlock()
		if used <= memoryMB {
			continue
		}
		f.signal(syscall.SIGKILL)
		<-f.done
		s.logf("%s: %.0f MB of memory, over memory_mb = %d: killed as by the platform", f.name, used, memoryMB)
		g.mu.Lock()
		g.kills[f.name]++
		g.mu.Unlock()
		time.Sleep(restartDelay)
		if err := f.start(); err != nil {
			s.logf("%s does not start: %v", f.name, err)
			return
		}
	}
}

func playEndless(s *site) (bool, error) {
	worker := &spoiler{}
	if s.trouble {
		s.engines[0].spoil = worker.spoil
	}
	guard := &memoryGuard{kills: map[string]int{}, most: map[string]int{}}
	var watchers, clients sync.WaitGroup
	for _, f := range s.fronts {
		watchers.Go(func() { guard.watch(s, f) })
	}
	var mu sync.Mutex
	counts := map[string]int{}
	until := time.Now().Add(endlessLength)
	for n := range endlessClients {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			for time.Now().Before(until) {
				time.Sleep(time.Duration(random.ExpFloat64() * float64(endlessPause)))
				r := request{method: http.MethodPost, path: "/tally/1", body: "tally", deadline: 3 * time.Second, header: map[string]string{
					"Token-Usage": "500,78", "Program-Id": newID(), "Token-Budget": "1000",
				}}
				if random.Float64() < 0.3 {
					r = request{method: http.MethodPost, path: "/pay/1", body: "pay", deadline: 3 * time.Second}
				}
				a := send(s.fronts[n%len(s.fronts)], r)
				kind := fmt.Sprintf("%s %d", r.path, a.status)
				if a.err != nil {
					kind += " cut"
				}
				mu.Lock()
				counts[kind]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	guard.mu.Lock()
	guard.ending = true
	guard.mu.Unlock()
	watchers.Wait()
	s.logf("answers without end: %d", worker.count)
	s.logf("answers by path and status: %v", counts)
	s.logf("most memory in MB: %v", guard.most)
	s.logf("processes that ended because of their memory: %v", guard.kills)
	fronts := 0
	for _, n := range guard.kills {
		if n >= killsForFault {
			fronts++
		}
	}
	return fronts >= frontsForFault, nil
}
