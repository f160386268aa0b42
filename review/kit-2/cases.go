package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// keptTurns has one client send turns of a single program, one after the other, each with the longest
// body that the configuration permits.
func keptTurns(s *site, trouble bool) (bool, error) {
	const turns = 45
	ctx, cancel := context.WithTimeout(context.Background(), 75*time.Second)
	defer cancel()
	finish := s.ordinary(ctx, 500*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble {
		program, body := s.newID(), []byte(strings.Repeat("x", maxBody))
		answered := 0
		for n := 0; n < turns; n++ {
			if r := s.send(s.pick(), turnRequest(program, s.newID(), "", 100000, body)); r.served() {
				answered++
			}
			time.Sleep(200 * time.Millisecond)
		}
		s.record.printf("%d of %d long turns were answered whole; the store holds %d MB", answered, turns, s.store.stored()>>20)
	}
	outcomes := finish()
	complete := 0
	for _, o := range outcomes {
		if o.complete {
			complete++
		}
	}
	s.record.printf("%d of %d ordinary programs are complete", complete, len(outcomes))
	fmt.Printf("%d of %d ordinary programs are complete\n", complete, len(outcomes))
	if !trouble && complete < len(outcomes)*9/10 {
		return false, fmt.Errorf("%w: programs fail without the disruption", errCannotRun)
	}
	return s.withinMemory(), nil
}

// longHistory has a client keep a conversation of three long turns and then continue it with many short
// turns at once.
func longHistory(s *site, trouble bool) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	finish := s.ordinary(ctx, 500*time.Millisecond)
	time.Sleep(3 * time.Second)
	if trouble {
		program, session, previous := s.newID(), s.newID(), ""
		for range 3 {
			r := s.send(s.pick(), turnRequest(program, session, previous, 100000, []byte(strings.Repeat("x", maxBody))))
			if !r.served() {
				return false, fmt.Errorf("%w: a long turn was not served: %s", errCannotRun, r)
			}
			previous = r.id
		}
		var clients sync.WaitGroup
		for range 40 {
			clients.Go(func() { s.send(s.pick(), turnRequest(program, s.newID(), previous, 100000, []byte("go on"))) })
		}
		clients.Wait()
	}
	complete, outcomes := 0, finish()
	for _, o := range outcomes {
		if o.complete {
			complete++
		}
	}
	s.record.printf("%d of %d ordinary programs are complete", complete, len(outcomes))
	fmt.Printf("%d of %d ordinary programs are complete\n", complete, len(outcomes))
	return s.withinMemory(), nil
}

// longNames has clients send turns that are refused, since their budget is too small, each of a program
// with a long name.
func longNames(s *site, trouble bool) (bool, error) {
	const total, clients = 45000, 24
	ctx, cancel := context.WithTimeout(context.Background(), 70*time.Second)
	defer cancel()
	finish := s.ordinary(ctx, 500*time.Millisecond)
	time.Sleep(3 * time.Second)
	if trouble {
		var mu sync.Mutex
		statuses := map[int]int{}
		var crowd sync.WaitGroup
		numbers := make(chan int)
		for range clients {
			crowd.Go(func() {
				for n := range numbers {
					r := turnRequest(strings.Repeat("p", 15000)+fmt.Sprintf("%016x", n), s.newID(), "", 1, nil)
					r.quiet = true
					got := s.send(s.pick(), r)
					mu.Lock()
					statuses[got.status]++
					mu.Unlock()
				}
			})
		}
	feed:
		for n := range total {
			select {
			case numbers <- n:
			case <-ctx.Done():
				break feed
			}
		}
		close(numbers)
		crowd.Wait()
		s.record.printf("refused turns of programs with long names, by status (0 is no answer): %v", statuses)
		fmt.Println("answers to turns of programs with long names, by status:", statuses)
	}
	complete, outcomes := 0, finish()
	for _, o := range outcomes {
		if o.complete {
			complete++
		}
	}
	s.record.printf("%d of %d ordinary programs are complete", complete, len(outcomes))
	fmt.Printf("%d of %d ordinary programs are complete\n", complete, len(outcomes))
	return s.withinMemory(), nil
}

// fullStore has clients send turns of many programs with long bodies until the store refuses them as it is
// full, and checks whether ordinary callers still get answers.
func fullStore(s *site, trouble bool) (bool, error) {
	const clients, calm = 3, 25 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 85*time.Second)
	defer cancel()
	finish := s.ordinary(ctx, 500*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble {
		sendLongTurns(ctx, s, clients)
		s.record.printf("the store holds %d bytes and has refused %d appends; no more long turns are sent", s.store.stored(), s.store.refusedFull())
	}
	from := time.Now()
	time.AfterFunc(calm, cancel)
	paid, payments := 0, 0
	for ctx.Err() == nil {
		r := s.send(s.pick(), request{method: http.MethodPost, path: payPrefix + "2f", body: []byte("pay the harvester"), deadline: 3 * time.Second})
		if payments++; r.status == http.StatusOK {
			paid++
		}
		time.Sleep(200 * time.Millisecond)
	}
	programs, complete, asked, served := 0, 0, 0, 0
	for _, o := range finish() {
		if o.begunAt.After(from) {
			programs, asked, served = programs+1, asked+o.asked, served+o.served
			if o.complete {
				complete++
			}
		}
	}
	text := fmt.Sprintf("after the long turns: %d of %d turns of ordinary programs and %d of %d payments were served, %d of %d programs are complete; the store refused %d appends as it was full",
		served, asked, paid, payments, complete, programs, s.store.refusedFull())
	s.record.printf("%s", text)
	fmt.Println(text)
	if programs < 20 || payments == 0 {
		return false, fmt.Errorf("%w: too few programs began late enough", errCannotRun)
	}
	all := float64(served+paid) / float64(asked+payments)
	return float64(served)/float64(asked) >= all/4, nil
}

// sendLongTurns sends turns of many programs. Their bodies begin with a quarter of the longest that the
// configuration permits, and are halved whenever the store has refused an append since.
func sendLongTurns(ctx context.Context, s *site, clients int) {
	for length := maxBody / 4; length >= 4<<10 && ctx.Err() == nil; length /= 2 {
		body, refused := []byte(strings.Repeat("x", length)), s.store.refusedFull()
		var crowd sync.WaitGroup
		for range clients {
			crowd.Go(func() {
				for s.store.refusedFull() == refused && ctx.Err() == nil {
					s.send(s.pick(), turnRequest(s.newID(), s.newID(), "", 100000, body))
				}
			})
		}
		crowd.Wait()
	}
}

// twoOutages has the store go silent twice; each time all machines lose power before it is back.
func twoOutages(s *site, trouble bool) (bool, error) {
	const budget = 8 * maxTurnTokens
	program, session, handed, previous := s.newID(), s.newID(), 0, ""
	play := func() reply {
		r := s.send(s.pick(), turnRequest(program, session, previous, budget, []byte("what is the lot worth?")))
		handed += r.events * tokensPerEvent
		if r.served() {
			previous = r.id
		}
		return r
	}
	for range 2 {
		time.Sleep(4 * time.Second)
		if r := play(); !r.served() {
			return false, fmt.Errorf("%w: a turn was not served: %s", errCannotRun, r)
		}
		if !trouble {
			continue
		}
		s.record.printf("the store goes silent")
		s.store.setDown(true)
		time.Sleep(300 * time.Millisecond)
		play()
		s.record.printf("all machines lose power")
		for _, f := range s.fronts {
			f.kill()
		}
		s.store.setDown(false)
		time.Sleep(time.Second)
		for _, f := range s.fronts {
			if err := f.release(); err != nil {
				return false, err
			}
		}
		if err := s.awaitReady(20 * time.Second); err != nil {
			return false, err
		}
	}
	refused := false
	for n := 0; n < 40 && !refused; n++ {
		switch r := play(); {
		case r.status == http.StatusPaymentRequired:
			refused = true
		case !r.served():
			time.Sleep(300 * time.Millisecond)
		}
	}
	s.record.printf("%d tokens were handed out; the budget is %d and a turn has at most %d", handed, budget, maxTurnTokens)
	fmt.Printf("%d tokens were handed out; the budget is %d and a turn has at most %d\n", handed, budget, maxTurnTokens)
	if !refused {
		return false, fmt.Errorf("%w: the program was not told that its budget is spent", errCannotRun)
	}
	return handed <= budget+maxTurnTokens, nil
}

// takenUp has a client take up a turn whose connection was reset after some events, and continue the
// conversation from it.
func takenUp(s *site, trouble bool) (bool, error) {
	for _, w := range s.workers {
		w.keepBodies = true
	}
	program, session := s.newID(), s.newID()
	input, more := "what is the lot worth?", "and the next one?"
	first := turnRequest(program, session, "", 20*maxTurnTokens, []byte(input))
	first.path = bothPrefix + "2f"
	first.cutAfter = 0
	if trouble {
		first.cutAfter = 3
	}
	r := s.send(s.pick(), first)
	id := r.id
	if trouble {
		again := turnRequest(program, session, "", 20*maxTurnTokens, []byte(input))
		again.path = first.path
		again.headers["Last-Event-Id"], again.headers["Resumes"] = "3", r.id
		r = s.send(s.pick(), again)
		id = r.id
	}
	next := turnRequest(program, session, id, 20*maxTurnTokens, []byte(more))
	next.path = first.path
	last := s.send(s.pick(), next)
	if !last.served() {
		return false, fmt.Errorf("%w: %s", errCannotRun, last)
	}
	expected := input
	for n := 1; n <= eventsPerTurn; n++ {
		expected += eventText(n) + "\n"
	}
	expected += more
	for _, w := range s.workers {
		for _, ran := range w.runs {
			if ran.id == last.id {
				s.record.printf("expected body %q, the server got %q", expected, ran.body)
				return string(ran.body) == expected, nil
			}
		}
	}
	return false, errCannotRun
}

// unnamedAnswers has a client send requests without an identifier, which servers reject, while some
// servers send a few of their answers once more where the next one is expected.
func unnamedAnswers(s *site, trouble bool) (bool, error) {
	const span, begins, lasts, spoiled = 12 * time.Second, 3 * time.Second, 5 * time.Second, 0.03
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	pay := request{method: http.MethodPost, path: payPrefix + "2f", body: []byte(strings.Repeat("pay the harvester ", 33)), deadline: 3 * time.Second}
	var clients sync.WaitGroup
	var mu sync.Mutex
	asked, replies := 0, map[int]int{}
	for range 6 {
		clients.Go(func() {
			kept := newClient()
			defer kept.CloseIdleConnections()
			for ctx.Err() == nil {
				r := pay
				r.client = kept
				got := s.send(s.pick(), r)
				mu.Lock()
				asked, replies[got.status] = asked+1, replies[got.status]+1
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	if trouble {
		for _, w := range s.traders[:len(s.traders)*6/10] {
			time.AfterFunc(begins, func() { w.setSpoil(spoiled) })
			time.AfterFunc(begins+lasts, func() { w.setSpoil(0) })
		}
		for range 4 {
			clients.Go(func() {
				kept := newClient()
				defer kept.CloseIdleConnections()
				for ctx.Err() == nil {
					r := pay
					r.client, r.unnamed = kept, true
					s.send(s.pick(), r)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	twice, runs := 0, map[string]int{}
	for _, w := range s.traders {
		w.mu.Lock()
		for id, n := range w.runs {
			runs[id] += n
		}
		s.record.printf("%s sent %d answers once more", w.id, w.extra)
		w.mu.Unlock()
	}
	for id, n := range runs {
		if n > 1 {
			twice++
			s.record.printf("request %s, which is not idempotent, has run %d times", id, n)
		}
	}
	s.record.printf("%d payments were asked for, answers by status %v; %d ran more than once", asked, replies, twice)
	fmt.Printf("%d payments were asked for, answers by status %v; %d ran more than once\n", asked, replies, twice)
	return twice == 0, nil
}
