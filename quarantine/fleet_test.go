package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/quarantine"
)

const (
	// step is the resolution of the model, day its length.
	step, day = 20 * time.Millisecond, time.Minute
	// contactTime is the time after the third crash from which runs of a request count.
	contactTime = 3 * time.Second
	// mostRuns is how many runs of a request that crashes endpoints may begin after that.
	mostRuns = 3
	// awayTime is how long an endpoint is away after a crash.
	awayTime = 3 * time.Second
	// poisonInterval is the time between two attempts of a request that crashes endpoints.
	poisonInterval = 1500 * time.Millisecond
)

// modelRun is a request that runs at an endpoint of the model.
type modelRun struct {
	id       quarantine.Identity
	instance int
	// beganAt is when it was sent, endsAt when it ends if its endpoint does not crash.
	beganAt, endsAt time.Time
	poison          int
}

// modelEndpoint is an endpoint that crashes by itself, or by what it runs.
type modelEndpoint struct {
	incarnation uint64
	awayUntil   time.Time
	runs        []modelRun
}

// fleetModel plays instances that share what they know of crashes by datagrams that may be lost.
type fleetModel struct {
	rng       *rand.Rand
	now       time.Time
	instances []*quarantine.Suspects
	endpoints []*modelEndpoint
	// soundSent and soundRefused count the requests that crash nothing.
	soundSent, soundRefused int
	// crashes are those of each request that crashes endpoints, lateRuns its runs later than
	// contactTime after the third one.
	crashes  []int
	thirdAt  []time.Time
	lateRuns []int
}

// TestCrashesOfEndpointsBanOnlyTheirCause plays days on which endpoints crash for reasons of their own,
// one at a time and by failure domain, while a few requests crash each endpoint that runs them. Most
// sound requests have one of a few inputs.
func TestCrashesOfEndpointsBanOnlyTheirCause(t *testing.T) {
	tests := []struct {
		name                         string
		instances, endpoints, poison int
		loss                         float64
		// conversations is set if the requests that crash endpoints have a common input, and crash
		// them because of their conversation.
		conversations bool
	}{
		{name: "small site", instances: 8, endpoints: 9, poison: 2},
		{name: "small site, datagrams are lost", instances: 8, endpoints: 9, poison: 2, loss: 0.5},
		{name: "small site, conversations crash endpoints", instances: 8, endpoints: 9, poison: 2, conversations: true},
		{name: "grown site", instances: 16, endpoints: 36, poison: 4, loss: 0.1},
	}
	for _, test := range tests {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(test.name, ", seed ", seed), func(t *testing.T) {
				m := &fleetModel{rng: rand.New(rand.NewPCG(seed, 0)), now: noon, crashes: make([]int, test.poison), thirdAt: make([]time.Time, test.poison), lateRuns: make([]int, test.poison)}
				for range test.instances {
					m.instances = append(m.instances, quarantine.NewSuspects())
				}
				for n := range test.endpoints {
					m.endpoints = append(m.endpoints, &modelEndpoint{incarnation: uint64(n)})
				}
				m.play(test.loss, test.conversations)
				require.Zero(t, m.soundRefused, "of %d sound requests", m.soundSent)
				for n, runs := range m.lateRuns {
					require.GreaterOrEqual(t, m.crashes[n], 3, "request %d has to crash endpoints", n)
					require.LessOrEqual(t, runs, mostRuns, "request %d crashed %d endpoints", n, m.crashes[n])
				}
			})
		}
	}
}

func (m *fleetModel) play(loss float64, conversations bool) {
	for tick := 0; m.now.Before(noon.Add(day)); tick++ {
		m.now = m.now.Add(step)
		for range 3 * len(m.endpoints) / 9 {
			input := fmt.Sprint("input ", m.rng.Int())
			if m.rng.IntN(10) < 7 {
				input = []string{"yes", "no", "and then?"}[m.rng.IntN(3)]
			}
			m.soundSent++
			if !m.send(modelRun{id: identity(input, fmt.Sprint("c", m.rng.Int())), poison: -1}) {
				m.soundRefused++
			}
		}
		if tick%int(poisonInterval/step) == 0 {
			for n := range m.crashes {
				input := fmt.Sprint("boom ", n)
				if conversations {
					input = "yes"
				}
				m.send(modelRun{id: identity(input, fmt.Sprint("poison ", n)), poison: n})
			}
		}
		if tick%int(5*time.Second/step) == 0 {
			m.crash(m.rng.IntN(len(m.endpoints)))
		}
		if tick%int(25*time.Second/step) == 0 {
			for n := range len(m.endpoints) / 3 {
				m.crash(n)
			}
		}
		m.finishRuns()
		if tick%int(200*time.Millisecond/step) == 0 {
			m.gossip(loss)
		}
	}
}

// send runs a request at an endpoint, by way of an instance that lets it, and reports whether one did.
func (m *fleetModel) send(r modelRun) bool {
	r.instance = m.rng.IntN(len(m.instances))
	if m.instances[r.instance].Banned(r.id) {
		return false
	}
	n := m.rng.IntN(len(m.endpoints))
	if m.endpoints[n].awayUntil.After(m.now) {
		return true
	}
	r.beganAt, r.endsAt = m.now, m.now.Add(time.Duration(100+m.rng.IntN(200))*time.Millisecond)
	m.endpoints[n].runs = append(m.endpoints[n].runs, r)
	if r.poison < 0 {
		return true
	}
	if m.crashes[r.poison] >= 3 && m.now.Sub(m.thirdAt[r.poison]) > contactTime {
		m.lateRuns[r.poison]++
	}
	if m.crashes[r.poison]++; m.crashes[r.poison] == 3 {
		m.thirdAt[r.poison] = m.now
	}
	m.crash(n)
	return true
}

// crash ends an endpoint; the instances learn which requests it was running.
func (m *fleetModel) crash(n int) {
	e := m.endpoints[n]
	if e.awayUntil.After(m.now) {
		return
	}
	for _, r := range e.runs {
		m.instances[r.instance].RecordCrash(r.id, e.incarnation, r.beganAt, m.now)
	}
	e.runs, e.awayUntil = nil, m.now.Add(awayTime)
	e.incarnation += uint64(len(m.endpoints))
}

func (m *fleetModel) finishRuns() {
	for _, e := range m.endpoints {
		running := e.runs[:0]
		for _, r := range e.runs {
			if r.endsAt.After(m.now) {
				running = append(running, r)
				continue
			}
			m.instances[r.instance].RecordCompletion(r.id, m.now)
		}
		e.runs = running
	}
}

// gossip lets each instance tell all others what it knows; a part of the datagrams is lost.
func (m *fleetModel) gossip(loss float64) {
	for _, from := range m.instances {
		crashes, cleared := from.Recent(m.now)
		for _, to := range m.instances {
			if to != from && m.rng.Float64() >= loss {
				to.Apply(crashes, cleared, m.now)
			}
		}
	}
}
