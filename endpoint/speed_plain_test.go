package endpoint_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// Parameters of the plain endpoints of deployment B.
const (
	plainCount, plainFronts = 13, 10
	// momentLength is how often it is drawn which endpoints are slow, momentShare the share that is, and
	// momentFactor how slow.
	momentLength              = 600 * time.Millisecond
	momentShare, momentFactor = 0.15, 2.5
	// plainRate is the number of requests a second; each takes plainTime at the nominal speed, with a
	// standard deviation of the logarithm of plainSpread.
	plainRate   = 300
	plainTime   = 20 * time.Millisecond
	plainSpread = 0.4
)

// plainSimulation is a service of plain endpoints that are slow for moments, at which some fronts send
// requests.
type plainSimulation struct {
	simulation
	// factors is the ratio of each endpoint's time to the nominal one, without moments.
	factors []float64
	slow    []bool
	// inUse is the number of rounds of gossip at which some front saw endpoints differ, and worst the
	// greatest ratio of two endpoints that any saw, both after settled.
	inUse, rounds int
	worst         float64
	settled       time.Time
	// requests counts the requests at each endpoint after settled.
	requests []int
}

func newPlainSimulation(t *testing.T, seed uint64, factors map[int]float64, settled time.Duration) *plainSimulation {
	p := &plainSimulation{factors: make([]float64, plainCount), slow: make([]bool, plainCount), requests: make([]int, plainCount), settled: time.Unix(0, 0).Add(settled), worst: 1}
	p.simulation = simulation{t: t, rng: rand.New(rand.NewPCG(seed, 2))}
	for i := range plainCount {
		p.factors[i] = 1
		if f, ok := factors[i]; ok {
			p.factors[i] = f
		}
	}
	for range plainFronts {
		d := endpoint.NewDirectory()
		for i := range plainCount {
			d.Put(endpoint.Registration{ID: fmt.Sprint(i), Service: "tools", Slots: 6}, time.Unix(0, 0))
		}
		p.fronts = append(p.fronts, d)
	}
	return p
}

// drawMoments draws which endpoints are slow, and schedules the next draw.
func (p *plainSimulation) drawMoments(now time.Time) {
	for i := range p.slow {
		p.slow[i] = p.rng.Float64() < momentShare
	}
	p.at(now.Add(momentLength), p.drawMoments)
}

// send sends one request from a random front and schedules the next.
func (p *plainSimulation) send(now time.Time) {
	p.at(now.Add(time.Duration(p.rng.ExpFloat64()/plainRate*float64(time.Second))), p.send)
	front := p.fronts[p.rng.IntN(plainFronts)]
	target, result := front.Pick(endpoint.Query{Service: "tools", Kind: "look", MaxQueued: 3}, now)
	if result != endpoint.Picked {
		return
	}
	var i int
	_, err := fmt.Sscan(target.ID(), &i)
	require.NoError(p.t, err)
	factor := p.factors[i] * math.Exp(plainSpread*p.rng.NormFloat64())
	if p.slow[i] {
		factor *= momentFactor
	}
	if now.After(p.settled) {
		p.requests[i]++
	}
	p.at(now.Add(time.Duration(factor*float64(plainTime))), func(now time.Time) {
		front.Release(target)
		front.RecordSuccess(target, now)
	})
}

// report exchanges the reports of the fronts, notes what they see, and schedules the next exchange.
func (p *plainSimulation) report(now time.Time) {
	for i, from := range p.fronts {
		loads := from.Loads()
		for j, to := range p.fronts {
			if i != j {
				to.UpdatePeerLoads(fmt.Sprint(i), loads, now)
			}
		}
	}
	p.exchangeSpeeds(now, p.gossipRounds)
	p.gossipRounds++
	if now.After(p.settled) {
		p.rounds++
		seen := 1.0
		for _, f := range p.fronts {
			seen = max(seen, f.SpeedSpread())
		}
		p.worst = max(p.worst, seen)
		if seen > 1.2 {
			p.inUse++
		}
	}
	p.at(now.Add(gossipInterval), p.report)
}

// play runs the simulation for some time.
func (p *plainSimulation) play(length time.Duration) {
	start := time.Unix(0, 0)
	p.drawMoments(start)
	p.report(start)
	p.send(start)
	for p.events[0].at.Before(start.Add(length)) {
		e := heap.Pop(&p.events).(simEvent)
		e.do(e.at)
	}
}

// TestMomentsOfSlownessMakeNoEndpointSlow answers the load of the plain endpoints of deployment B, each
// of which is 2.5 times slower for 15% of the time. It guards against endpoints that count as slow for good
// because of such moments, which crowds requests on the others.
func TestMomentsOfSlownessMakeNoEndpointSlow(t *testing.T) {
	tests := []struct {
		name    string
		factors map[int]float64
		// leastRequests and mostRequests bound the requests at endpoint 0 as a ratio to the mean.
		leastRequests, mostRequests float64
	}{
		{name: "moments only", leastRequests: 0.8, mostRequests: 1.2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(3) {
				p := newPlainSimulation(t, seed, test.factors, 8*time.Second)
				p.play(40 * time.Second)
				sum := 0
				for _, n := range p.requests {
					sum += n
				}
				share := float64(p.requests[0]) * plainCount / float64(sum)
				t.Logf("seed %d: endpoints seen to differ by up to %.2f, in %d of %d rounds; requests at endpoint 0: %.2f of the mean", seed, p.worst, p.inUse, p.rounds, share)
				require.Equal(t, 1.0, p.worst, "speeds of plain endpoints are not learnt")
				require.GreaterOrEqual(t, share, test.leastRequests)
				require.LessOrEqual(t, share, test.mostRequests)
			}
		})
	}
}
