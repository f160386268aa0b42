package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualBody is the usual length of a turn's input on the site sheet.
	usualBody = 4300
	// turnPause is the time between two turns of an ordinary program.
	turnPause = 100 * time.Millisecond
	// ordinaryCallers is the number of ordinary programs at a time.
	ordinaryCallers = 6
)

// text returns an input of so many bytes that begins with a mark.
func text(mark string, length int) []byte {
	return append([]byte(mark), bytes.Repeat([]byte("x"), max(0, length-len(mark)))...)
}

// turnHeaders are the headers of a turn of a program.
func turnHeaders(program, session string, budget int, previous string) []string {
	headers := []string{"Model", "m", "Token-Usage", "1460,286", "Program-Id", program, "Session-Id", session, "Program-Deadline-Ms", "60000", "Token-Budget", fmt.Sprint(budget)}
	if previous != "" {
		headers = append(headers, "Previous-Turn", previous)
	}
	return headers
}

// tally counts what ordinary callers sent and got whole.
type tally struct {
	turns, served, alerts, alerted atomic.Int64
}

func (t *tally) String() string {
	return fmt.Sprintf("%d of %d turns and %d of %d alerts of ordinary callers were served", t.served.Load(), t.turns.Load(), t.alerted.Load(), t.alerts.Load())
}

// ordinary plays ordinary programs of four turns and plain requests for a while, on kept connections.
func (s *site) ordinary(span time.Duration) *tally {
	var t tally
	var callers sync.WaitGroup
	until := time.Now().Add(span)
	for range ordinaryCallers {
		callers.Go(func() {
			client := newClient(true)
			defer client.CloseIdleConnections()
			for time.Now().Before(until) {
				program, previous := newID(), ""
				for n := range 4 {
					time.Sleep(turnPause)
					if !time.Now().Before(until) {
						return
					}
					t.alerts.Add(1)
					if s.sendBy(client, s.any(), "GET", "/alert/1", newID(), nil, nil).whole() {
						t.alerted.Add(1)
					}
					id := newID()
					t.turns.Add(1)
					answer := s.sendBy(client, s.any(), "POST", "/keeps/1", id, text(fmt.Sprint("turn ", n), usualBody), nil, turnHeaders(program, program, 2288, previous)...)
					if !answer.whole() {
						break
					}
					t.served.Add(1)
					previous = id
				}
			}
		})
	}
	callers.Wait()
	return &t
}

// any returns one of the fronts.
func (s *site) any() *front { return s.fronts[rand.IntN(len(s.fronts))] }

const (
	// faultEnds and faultMachines are the bounds of the rule on processes that end by themselves.
	faultEnds, faultMachines = 3, 2
)

// ends returns how often processes were killed because they held more memory than their machine has, on
// how many machines, and on how many of these faultEnds times.
func (s *site) ends() (times, machines, often int) {
	for _, f := range s.fronts {
		f.mu.Lock()
		times += f.overs
		if f.overs > 0 {
			machines++
		}
		if f.overs >= faultEnds {
			often++
		}
		f.mu.Unlock()
	}
	return times, machines, often
}

// judgeEnds logs how processes ended, and reports whether that breaks the rule.
func (s *site) judgeEnds() bool {
	times, machines, often := s.ends()
	s.record.logf("processes were killed for their memory %d times on %d machines, on %d of them %d times or more", times, machines, often, faultEnds)
	return often >= faultMachines
}

// awaitReady waits until a front is ready, and reports whether it is.
func (s *site) awaitReady(f *front) bool {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if f.isReady() {
			return true
		}
	}
	return false
}

// playContext has one client keep a conversation of three long turns and then continue it many times at once.
func playContext(s *site, trouble bool) (bool, bool) {
	const rounds, many = 6, 40
	length := usualBody
	if trouble {
		length = maxBody
	}
	program, previous := newID(), ""
	for range 3 {
		kept := ""
		for range 3 {
			id := newID()
			if s.send(s.any(), "POST", "/keeps/1", id, text("long", length), turnHeaders(program, program, 100000, previous)...).whole() {
				kept = id
				break
			}
		}
		if kept == "" {
			return false, false
		}
		previous = kept
	}
	for n := range rounds {
		target := s.fronts[n%2]
		if !s.awaitReady(target) {
			s.record.logf("%s is not ready", target.name)
			continue
		}
		time.Sleep(time.Second)
		var clients sync.WaitGroup
		var served atomic.Int64
		for range many {
			clients.Go(func() {
				if s.send(target, "POST", "/keeps/1", newID(), text("short", 100), turnHeaders(program, newID(), 100000, previous)...).whole() {
					served.Add(1)
				}
			})
		}
		clients.Wait()
		s.record.logf("%d of %d turns that continue it were served", served.Load(), many)
	}
	return s.judgeEnds(), true
}

// playIDs has a client send streams with identifiers nearly as long as a head may be, to two fronts.
func playIDs(s *site, trouble bool) (bool, bool) {
	const span, conns, pause = 85 * time.Second, 24, 40 * time.Millisecond
	length := 16
	if trouble {
		length = 15_000
	}
	var sent, served atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(span)
	for _, target := range s.fronts[:2] {
		for range conns {
			clients.Go(func() {
				client := newClient(true)
				for time.Now().Before(until) && target.killed() < faultEnds {
					time.Sleep(pause)
					sent.Add(1)
					if s.sendBy(client, target, "POST", "/goeson/1", newID()+strings.Repeat("0", length-16), text("short", 100), nil, "Model", "m", "Token-Usage", "1460,286").whole() {
						served.Add(1)
					}
				}
			})
		}
	}
	clients.Wait()
	s.record.logf("%d of %d streams with identifiers of %d bytes were served", served.Load(), sent.Load(), length)
	return s.judgeEnds(), served.Load() > 0
}

// killed returns how often the process of a machine was killed for its memory.
func (f *front) killed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.overs
}

// playResumed kills the front that serves a turn. Its client takes the stream up at another front and
// then continues the turn.
func playResumed(s *site, trouble bool) (bool, bool) {
	wrong, checked := 0, 0
	for n := range 8 {
		first, second := s.fronts[n%len(s.fronts)], s.fronts[(n+3)%len(s.fronts)]
		program, id, input := newID(), newID(), fmt.Sprintf("input %d.", n)
		headers := turnHeaders(program, program, 100000, "")
		killed := false
		answer := s.sendBy(newClient(false), first, "POST", "/keeps/1", id, []byte(input), func(sofar string) {
			if trouble && !killed && strings.Count(sofar, "\n\n") >= 3 {
				killed = true
				s.record.logf("kill    %s", first.name)
				first.signal(9)
			}
		}, headers...)
		last, events := id, answer.body
		if !answer.whole() {
			got := strings.Count(events, "\n\n")
			if got == 0 {
				continue
			}
			last = newID()
			again := s.send(second, "POST", "/keeps/1", last, []byte(input), append(headers, "Last-Event-Id", fmt.Sprint(got), "Resumes", id)...)
			if !again.whole() {
				s.record.logf("the stream was not taken up")
				continue
			}
			events = strings.Join(strings.SplitAfter(events, "\n\n")[:got], "") + again.body
		}
		want := input
		for line := range strings.Lines(events) {
			if data, ok := strings.CutPrefix(line, "data: "); ok {
				want += data
			}
		}
		next := newID()
		s.send(second, "POST", "/keeps/1", next, []byte("next"), turnHeaders(program, program, 100000, last)...)
		ran, ok := s.record.runOf(next)
		if !ok {
			s.record.logf("the turn after it did not run")
			continue
		}
		checked++
		if want += "next"; ran.Body != want {
			wrong++
			s.record.logf("WRONG: the worker ran %q, the conversation is %q", ran.Body, want)
		}
	}
	s.record.logf("%d of %d turns ran with another conversation than their chain's", wrong, checked)
	return wrong > 0, checked > 0
}

// playLeaving releases four of the nine model workers, two at a time, each after a new one has started, and
// does so again every few seconds. Callers send turns of 2.7 s all the while.
func playLeaving(s *site, trouble bool) (bool, bool) {
	const (
		callers, bound    = 64, 3
		releases, between = 4, 7 * time.Second
		// serves is drain_ms and a little longer.
		serves = 2200 * time.Millisecond
	)
	var sent, whole, lost atomic.Int64
	var clients, leaving sync.WaitGroup
	until := time.Now().Add(6*time.Second + releases*between)
	for range callers {
		clients.Go(func() {
			client := newClient(true)
			time.Sleep(rand.N(3 * time.Second))
			for time.Now().Before(until) {
				program, id := newID(), newID()
				sent.Add(1)
				answer := s.sendBy(client, s.any(), "POST", "/keeps/1", id, text("short", 100), nil, turnHeaders(program, program, 100000, "")...)
				if answer.whole() {
					whole.Add(1)
				} else if v := s.toldBy(id); v != "" && answer.err != nil {
					lost.Add(1)
					s.record.logf("LOST: %s has sent the whole answer to %s, the client got %s", v, id, answer)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	for n := range releases * 2 {
		for range 2 {
			if trouble {
				old := s.oldestReady(modelService)
				s.startWorker(modelService)
				leaving.Go(func() { old.leave(s, serves) })
				for old.isReady() {
					time.Sleep(time.Millisecond)
				}
			}
		}
		time.Sleep(time.Second)
		if n%2 == 1 {
			time.Sleep(between - 2*time.Second)
		}
	}
	clients.Wait()
	leaving.Wait()
	s.record.logf("%d of %d turns were served; of %d the worker had sent the whole answer and the client's connection was closed", whole.Load(), sent.Load(), lost.Load())
	return lost.Load() > bound, whole.Load() > 0
}

// oldestReady returns the worker of a service that has been ready for longest.
func (s *site) oldestReady(service string) *worker {
	for _, v := range s.allWorkers() {
		if v.service == service && v.isReady() {
			return v
		}
	}
	return nil
}

// isReady reports whether the worker's entry says that it is ready.
func (v *worker) isReady() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state == "ready"
}

// toldBy returns the worker that has sent the whole answer to a request, or "".
func (s *site) toldBy(id string) string {
	for _, v := range s.allWorkers() {
		if v.toldWhole(id) {
			return v.id
		}
	}
	return ""
}

// allWorkers returns the workers started so far.
func (s *site) allWorkers() []*worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[:len(s.workers):len(s.workers)]
}

// playBodies has one client open many connections to each front, send on each the head of a request with a body
// of a thousand bytes and one byte of that, and wait.
func playBodies(s *site, trouble bool) (bool, bool) {
	const conns, span = 1200, 40 * time.Second
	before := s.ordinary(5 * time.Second)
	s.record.logf("before: %s", before)
	var held atomic.Int64
	done := make(chan struct{})
	var holders sync.WaitGroup
	for _, f := range s.fronts {
		for n := range conns {
			if !trouble {
				break
			}
			holders.Go(func() {
				for {
					conn, err := net.DialTimeout("tcp", f.callers, time.Second)
					if err == nil {
						held.Add(1)
						_, _ = fmt.Fprintf(conn, "POST /none/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: slow-%s-%d\r\nContent-Length: 1000\r\n\r\nx", host, f.name, n)
						ended := make(chan struct{})
						go func() {
							_, _ = io.Copy(io.Discard, conn)
							close(ended)
						}()
						select {
						case <-ended:
						case <-done:
						}
						_ = conn.Close()
						held.Add(-1)
					}
					select {
					case <-done:
						return
					case <-time.After(time.Second):
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	s.record.logf("%d connections are held", held.Load())
	during := s.ordinary(span)
	s.record.logf("%d connections are held", held.Load())
	s.record.logf("meanwhile: %s", during)
	close(done)
	holders.Wait()
	after := s.ordinary(5 * time.Second)
	s.record.logf("after: %s", after)
	return during.served.Load()+during.alerted.Load() == 0, before.served.Load() > 0 && during.turns.Load() > 10
}
