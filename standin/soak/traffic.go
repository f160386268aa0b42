package soak

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
	// turnEvents is the number of events of a turn, and turnsOfBudget how many turns the budget
	// of a program holds.
	turnEvents, turnsOfBudget = 5, 20
	// lineTurns is the number of turns in a line of a program.
	lineTurns = 8
	// streamTries is how often a caller takes a stream up again.
	streamTries = 4
	// floodCallers and slowReaders are the numbers of callers of one event.
	floodCallers, slowReaders = 40, 16
	// usualDeadline is the deadline of most requests.
	usualDeadline = 3 * time.Second
)

// traffic lists the kinds of callers with how many there are of each.
var traffic = []struct {
	count int
	play  func(c *caller, random *rand.Rand, name string)
}{
	{8, (*caller).pay},
	{4, (*caller).look},
	{18, (*caller).resume},
	{8, (*caller).read},
	{10, (*caller).converse},
	{4, (*caller).loop},
	{3, (*caller).probe},
}

// play runs all callers until stop is closed.
func (s *site) play(seed uint64, stop <-chan struct{}) {
	var callers sync.WaitGroup
	count := uint64(0)
	for _, kind := range traffic {
		for range kind.count {
			count++
			number := count
			callers.Go(func() {
				c := &caller{site: s, conns: map[int]*callerConn{}}
				c.repeat(rand.New(rand.NewPCG(seed, number)), fmt.Sprint(number), stop, kind.play)
			})
		}
	}
	callers.Wait()
}

// repeat plays a kind of caller in rounds until stop is closed.
func (c *caller) repeat(random *rand.Rand, name string, stop <-chan struct{}, play func(c *caller, random *rand.Rand, name string)) {
	defer c.close()
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(80)) * time.Millisecond):
		}
		play(c, random, fmt.Sprintf("%s-%d", name, round))
	}
}

// playFor runs the callers of an event for its span.
func (s *site) playFor(e event) {
	stop := make(chan struct{})
	time.AfterFunc(e.span, func() { close(stop) })
	kinds := []func(c *caller, random *rand.Rand, name string){(*caller).pay, (*caller).look, (*caller).read, (*caller).lookLong}
	count := slowReaders
	if e.fault == FaultFlood {
		kinds, count = kinds[:3], floodCallers
	}
	var callers sync.WaitGroup
	for n := range count {
		callers.Go(func() {
			c := &caller{site: s, conns: map[int]*callerConn{}, customer: floodCustomer}
			if e.fault == FaultSlowReader {
				// A third of them read nothing in time.
				c.customer, c.readPause = usualCustomer, []time.Duration{2 * time.Millisecond, 20 * time.Millisecond, usualDeadline}[n%3]
			}
			random := rand.New(rand.NewPCG(uint64(e.target)<<16+uint64(e.variant), uint64(n)))
			c.repeat(random, fmt.Sprintf("%s-%d-%d-%d", e.fault, e.target, e.variant, n), stop, kinds[n%len(kinds)])
		})
	}
	callers.Wait()
}

// front draws a front, mostly the one that the caller has an open connection to.
func (c *caller) front(random *rand.Rand) int {
	if len(c.conns) > 0 && random.IntN(4) > 0 {
		for front := range len(c.site.fronts) {
			if c.conns[front] != nil {
				return front
			}
		}
	}
	return random.IntN(len(c.site.fronts))
}

// pay sends a request that may run once at most.
func (c *caller) pay(random *rand.Rand, name string) {
	r := request{method: http.MethodPost, path: "/pay/1", body: "payment " + name, deadline: usualDeadline}
	c.checkPlain("payment", c.send("payment", c.front(random), r, attempt{once: true, maxRuns: 1}))
}

// look sends a request that may be repeated.
func (c *caller) look(random *rand.Rand, _ string) {
	r := request{method: http.MethodGet, path: "/alert/1", deadline: 1200 * time.Millisecond}
	c.checkPlain("look-up", c.send("look-up", c.front(random), r, attempt{maxRuns: 2}))
}

// lookLong sends a request whose answer is long.
func (c *caller) lookLong(random *rand.Rand, _ string) {
	r := request{method: http.MethodGet, path: longPath, deadline: usualDeadline}
	c.checkPlain("long look-up", c.send("long look-up", c.front(random), r, attempt{maxRuns: 2}))
}

// checkPlain checks the answer of a plain endpoint.
func (c *caller) checkPlain(kind string, a answer) {
	if a.served() && !isPlainAnswer(a.body, a.id) {
		c.site.observer.report("MIXED", "%s %s has another body of %d bytes: %.60q", kind, a.id, len(a.body), a.body)
	}
}

// resume reads a resumable stream, and takes it up again at other fronts until it is whole.
func (c *caller) resume(random *rand.Rand, name string) {
	events := 20 + random.IntN(50)
	body, until := "tally "+name, time.Now().Add(4*time.Second)
	var pieces []piece
	var ids []string
	first, complete := "", false
	front := c.front(random)
	for try := 0; try < streamTries && !complete && time.Until(until) > 100*time.Millisecond; try++ {
		r := request{method: http.MethodPost, path: "/tally/1", body: body, deadline: time.Until(until), header: map[string]string{"Token-Usage": fmt.Sprintf("500,%d", events*chunkTokens)}}
		if len(pieces) > 0 {
			r.header["Last-Event-Id"], r.header["Resumes"] = strconv.Itoa(len(pieces)), first
		}
		a := c.send("resumable stream", front, r, attempt{maxRuns: 3})
		ids = append(ids, a.id)
		got, _ := c.pieces(a, try)
		if len(got) > 0 && first == "" {
			first = a.id
		}
		pieces, complete = append(pieces, got...), a.served()
		if a.status/100 == 4 && a.err == nil {
			break
		}
		front = (front + 1) % len(c.site.fronts)
		if !complete {
			time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
		}
	}
	c.site.observer.streamed(ids, pieces, textOf(body), events, complete, true)
}

// pieces returns the whole events of an answer, if it is a success.
func (c *caller) pieces(a answer, try int) (pieces []piece, ok bool) {
	if a.status/100 != 2 {
		return nil, false
	}
	pieces, rest, err := splitEvents(a.body, try)
	if err != nil {
		c.site.observer.report("MIXED", "stream %s: %v", a.id, err)
	} else if a.err == nil && rest != "" {
		c.site.observer.report("MIXED", "stream %s ends as complete inside an event: %.60q", a.id, rest)
	}
	return pieces, err == nil && a.err == nil && rest == ""
}

// read reads a stream that is not resumable.
func (c *caller) read(random *rand.Rand, name string) {
	events := 5 + random.IntN(30)
	r := request{method: http.MethodPost, path: "/story/1", body: "story " + name, deadline: usualDeadline, header: map[string]string{"Token-Usage": fmt.Sprintf("500,%d", events*chunkTokens)}}
	a := c.send("stream", c.front(random), r, attempt{once: true, maxRuns: 1})
	pieces, _ := c.pieces(a, 0)
	c.site.observer.streamed([]string{a.id}, pieces, textOf(r.body), events, a.served(), false)
}

// turn sends a turn of a program and returns its ID if it was answered whole.
func (c *caller) turn(random *rand.Rand, program, previous, input string) (id string, status int) {
	const most, budget = turnEvents * chunkTokens, turnsOfBudget * turnEvents * chunkTokens
	r := request{method: http.MethodPost, path: "/quote/1", body: input, deadline: usualDeadline, header: map[string]string{
		"Program-Id": program, "Session-Id": program, "Program-Deadline-Ms": "20000", "Token-Budget": strconv.Itoa(budget), "Token-Usage": fmt.Sprintf("500,%d", most),
	}}
	chain := input
	if previous != "" {
		r.header["Previous-Turn"] = previous
		chain = c.site.observer.turnOf(previous).text + input
	}
	a := c.send("turn", c.front(random), r, attempt{once: true, maxRuns: 1, body: chain, improper: previous != ""})
	pieces, whole := c.pieces(a, 0)
	c.site.observer.handed(program, len(pieces)*chunkTokens, budget, most)
	c.site.observer.streamed([]string{a.id}, pieces, textOf(chain), turnEvents, a.served(), false)
	if previous != "" {
		c.site.observer.continued(previous, a)
	}
	if !whole {
		return "", a.status
	}
	var text strings.Builder
	for _, p := range pieces {
		text.WriteString(p.data + "\n")
	}
	c.site.observer.kept(a.id, chain+text.String())
	return a.id, a.status
}

// converse runs a line of turns, from which another program goes on.
func (c *caller) converse(random *rand.Rand, name string) {
	previous := ""
	for n := range lineTurns {
		if id, _ := c.turn(random, "line-"+name, previous, fmt.Sprintf("input %d of %s ", n, name)); id != "" {
			previous = id
		}
		time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
	}
	if previous != "" {
		_, _ = c.turn(random, "fork-"+name, previous, "and then ")
	}
}

// loop runs turns of a program at once until its budget is spent.
func (c *caller) loop(random *rand.Rand, name string) {
	var lines sync.WaitGroup
	for n := range 3 {
		seed := random.Uint64()
		lines.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			line := &caller{site: c.site, conns: map[int]*callerConn{}}
			defer line.close()
			denied := 0
			for tries := 0; denied < 2 && tries < 2*turnsOfBudget; tries++ {
				if _, status := line.turn(random, "loop-"+name, "", "loop "+name+" "); status == http.StatusPaymentRequired {
					denied++
				} else if status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	lines.Wait()
}

// probe asks for a route that came with one of the newest configurations.
func (c *caller) probe(random *rand.Rand, _ string) {
	version := c.site.version()
	version = max(1, version-random.IntN(3))
	front := c.front(random)
	conn, err := c.connect(front)
	if err != nil {
		return
	}
	process := conn.process
	newest := c.site.observer.newestOf(process)
	a := c.send("probe", front, request{method: http.MethodGet, path: fmt.Sprintf("/since/%d/", version), deadline: 1200 * time.Millisecond}, attempt{maxRuns: 2, improper: true})
	if process == "" || a.err != nil || a.status != http.StatusOK && a.status != http.StatusNotFound {
		return
	}
	c.site.observer.configured(process, version, newest, a.status == http.StatusOK)
}
