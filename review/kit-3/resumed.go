package main

import (
	"fmt"
	"syscall"
	"time"
)

// resumedTries is the number of conversations.
const resumedTries = 6

// resumed has a front die in the middle of a turn, as node_kill does. The client takes the stream up at another
// front, gets the rest, and goes on with the next turn. The worker is to receive the whole of the first one.
func resumed(s *site, trouble bool) (int, error) {
	if err := s.open(4, 6, 0, true); err != nil {
		return cannotRun, err
	}
	result := held
	for try := range resumedTries {
		first, other := s.fronts[try%2], s.fronts[2+try%2]
		program, session := newID(), newID()
		a, input := newID(), fmt.Sprintf("first question %d;", try)
		got := s.send(first, turn{id: a, program: program, session: session, input: input, prompt: 600}, func(n int) bool {
			if trouble && n == 3 {
				first.signal(syscall.SIGKILL)
			}
			return true
		})
		events, last := got.events, a
		s.note("turn %s at %s: status %d, %d events, whole %v, %v", a, first.name, got.status, len(got.events), got.whole, got.err)
		if !got.whole {
			b := newID()
			rest := s.send(other, turn{id: b, program: program, session: session, input: input, prompt: 600, after: fmt.Sprint(len(events)), resumes: a}, nil)
			s.note("turn %s takes it up at %s after event %d: status %d, %d events, whole %v, %v %s", b, other.name, len(events), rest.status, len(rest.events), rest.whole, rest.err, rest.body)
			if !rest.whole {
				continue
			}
			events, last = append(events, rest.events...), b
		}
		expected := input
		for _, e := range events {
			expected += e.data + "\n"
		}
		c, next := newID(), "second question"
		expected += next
		answer := s.send(other, turn{id: c, program: program, session: session, previous: last, input: next, prompt: 700}, nil)
		s.note("turn %s continues %s at %s: status %d, whole %v %s", c, last, other.name, answer.status, answer.whole, answer.body)
		s.mu.Lock()
		for _, r := range s.runs {
			if r.id == c && r.body != expected {
				result = broken
				fmt.Fprintf(s.record, "            the worker %s was to receive %q\n            and received           %q\n", r.worker, expected, r.body)
			}
		}
		s.mu.Unlock()
		if trouble {
			<-first.ended
			time.Sleep(300 * time.Millisecond)
			if err := first.start(); err != nil {
				return cannotRun, err
			}
			first.awaitReady(10 * time.Second)
			time.Sleep(time.Second)
		}
	}
	return result, nil
}
