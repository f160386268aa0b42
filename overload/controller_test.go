package overload_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/overload"
)

// fixedDirectory is an overload.Directory with the same load for all services.
type fixedDirectory struct {
	mu       sync.Mutex
	capacity endpoint.Capacity
}

func (d *fixedDirectory) Capacity(string, time.Time) endpoint.Capacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.capacity
}

func (*fixedDirectory) TypicalTime(string) (time.Duration, bool) { return 230 * time.Millisecond, true }

// setRunning sets the number of requests at 100 slots.
func (d *fixedDirectory) setRunning(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = endpoint.Capacity{Slots: 100, Running: n, Free: max(0, 100-n)}
}

// started returns a controller and its directory, and a time at which the controller decides.
func started(load float64, shares overload.Shares) (*overload.Controller, *fixedDirectory, time.Time) {
	d := &fixedDirectory{}
	d.setRunning(0)
	return overload.New(overload.Config{Load: load, Directory: d, Shares: shares}), d, time.Now().Add(time.Second)
}

// newRequest returns a beginning of service "s" that may wait 100 ms.
func newRequest(now time.Time) overload.Request {
	return overload.Request{Service: "s", Kind: "turn", LatencyTarget: latencyTarget, Deadline: now.Add(turnTimeout), ProgramDeadline: now.Add(4 * time.Second)}
}

// TestProgramsBeginAsBeforeWithoutKnownLoad guards against programs that are refused because a front knows
// nothing: no engine is usable, or the front has just started.
func TestProgramsBeginAsBeforeWithoutKnownLoad(t *testing.T) {
	tests := []struct {
		name     string
		capacity endpoint.Capacity
		after    time.Duration
		decided  bool
	}{
		{name: "no usable engine", after: time.Second},
		{name: "just started", capacity: endpoint.Capacity{Slots: 10, Running: 30}, after: 100 * time.Millisecond},
		{name: "later", capacity: endpoint.Capacity{Slots: 10, Running: 30}, after: 300 * time.Millisecond, decided: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &fixedDirectory{capacity: test.capacity}
			c := overload.New(overload.Config{Directory: d})
			now := time.Now().Add(test.after)
			b, err := c.Begin(newRequest(now), now)
			require.NoError(t, err)
			require.Equal(t, test.decided, b != nil)
		})
	}
}

// TestBeginningsWaitOnlyWhileEnginesAreFull guards against programs that wait because the load rises above
// its limit by chance, against an excess of demand that is taken for chance, and against programs that
// are held back after its end.
func TestBeginningsWaitOnlyWhileEnginesAreFull(t *testing.T) {
	steps := []struct {
		name    string
		running int
		span    time.Duration
		held    bool
	}{
		{name: "usual load", running: 80, span: 2 * time.Second},
		{name: "load above the limit for the time of a turn", running: 98, span: 230 * time.Millisecond},
		{name: "usual load again", running: 80, span: time.Second},
		{name: "excess of demand", running: 130, span: 600 * time.Millisecond, held: true},
		{name: "load at its limit while programs wait", running: 90, span: 3 * time.Second, held: true},
		{name: "end of the excess", running: 70, span: time.Second},
	}
	c, d, now := started(0.9, nil)
	for _, step := range steps {
		d.setRunning(step.running)
		for end := now.Add(step.span); now.Before(end); now = now.Add(20 * time.Millisecond) {
			c.Observe("s", now)
		}
		b, err := c.Begin(newRequest(now), now)
		require.NoError(t, err, step.name)
		q := b.Restrict(endpoint.Query{MaxQueued: 3})
		if !step.held {
			require.Equal(t, endpoint.Query{MaxQueued: 3}, q, step.name)
			require.Zero(t, b.GiveUpAt(), step.name)
		} else {
			require.Equal(t, endpoint.Query{MaxLoad: 0.9}, q, step.name)
			require.Equal(t, now.Add(latencyTarget/4), b.GiveUpAt(), step.name)
		}
		b.Admitted(now)
	}
}

// TestLimitAboveOneCountsOnQueuesOfEngines guards against a limit above 1 that has no effect, because
// programs begin only at free slots.
func TestLimitAboveOneCountsOnQueuesOfEngines(t *testing.T) {
	c, d, now := started(1.4, nil)
	d.setRunning(150)
	b, err := c.Begin(newRequest(now), now)
	require.NoError(t, err)
	require.Equal(t, endpoint.Query{MaxQueued: 3, MaxLoad: 1.4}, b.Restrict(endpoint.Query{MaxQueued: 3}))
	b.Abandoned(now)
}

// TestBeginningsAreRefusedAtOnceIfTheyWouldWaitInVain guards against programs that wait though the rate of
// admissions shows that they get no slot, against those that are refused before any has waited in vain,
// and against low ranks that keep a higher one from waiting.
func TestBeginningsAreRefusedAtOnceIfTheyWouldWaitInVain(t *testing.T) {
	c, d, now := started(0.9, nil)
	d.setRunning(120)
	var waiting []*overload.Beginning
	for range 5 {
		request := newRequest(now)
		request.Rank = 2
		b, err := c.Begin(request, now)
		require.NoError(t, err, "none has waited in vain")
		waiting = append(waiting, b)
	}
	waiting[0].Admitted(now)
	now = now.Add(latencyTarget / 4)
	err := waiting[1].Expired(now)
	require.ErrorContains(t, err, "engines are full: it waited 100ms; load 1.20 of 100 slots")
	require.Equal(t, overload.KindFull, overload.KindOf(err))
	low := newRequest(now)
	low.Rank = 2
	_, err = c.Begin(low, now)
	require.ErrorContains(t, err, "engines are full: it would wait 4s")
	for range 19 {
		b, err := c.Begin(newRequest(now), now)
		if err == nil {
			b.Admitted(now)
		}
	}
	d.setRunning(80)
	b, err := c.Begin(low, now)
	require.NoError(t, err, "there is room")
	b.Admitted(now)
	for _, b := range waiting[2:] {
		b.Abandoned(now)
	}
	d.setRunning(120)
	b, err = c.Begin(low, now.Add(2*time.Second))
	require.NoError(t, err, "what was refused more than a second ago tells nothing")
	require.Equal(t, overload.Inputs{Capacity: d.Capacity("s", now), MeanLoad: b.Inputs().MeanLoad}, b.Inputs())
	b.Abandoned(now)
}

// recordedShares is an overload.Shares with customers over and under their share.
type recordedShares struct {
	over  map[string]bool
	under map[string]bool
	asked []string
}

func (r *recordedShares) Ask(customer string, cost time.Duration, _ time.Time) {
	r.asked = append(r.asked, fmt.Sprint(customer, " ", cost))
}

func (r *recordedShares) Over(customer string, _ float64, _ time.Time) bool { return r.over[customer] }

func (r *recordedShares) Under(customer string, _ float64, _ time.Time) bool {
	return r.under[customer]
}

// TestCustomersOverTheirShareAreRefusedFirst guards against customers that push out others while engines
// are full, and against customers that are refused for their share while they are not.
func TestCustomersOverTheirShareAreRefusedFirst(t *testing.T) {
	tests := []struct {
		name     string
		customer string
		// mean and running are the load in the last seconds and now.
		mean, running int
		refused       bool
		maxLoad       float64
	}{
		{name: "over, engines not full", customer: "large", mean: 80, running: 95},
		{name: "over, load above the limit", customer: "large", mean: 120, running: 95, refused: true},
		{name: "over, load below the limit but not by much", customer: "large", mean: 120, running: 87, refused: true},
		{name: "over, load well below the limit", customer: "large", mean: 120, running: 80, maxLoad: 0.846},
		{name: "near its share", customer: "middle", mean: 120, running: 85, maxLoad: 0.9},
		{name: "under", customer: "small", mean: 120, running: 95, maxLoad: 1},
		{name: "no customer", mean: 120, running: 95, maxLoad: 0.9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			shares := &recordedShares{over: map[string]bool{"large": true, "": true}, under: map[string]bool{"small": true}}
			c, d, now := started(0.9, shares)
			d.setRunning(test.mean)
			c.Observe("s", now)
			d.setRunning(test.running)
			request := newRequest(now)
			request.Customer = test.customer
			b, err := c.Begin(request, now)
			if test.customer != "" {
				require.Equal(t, []string{test.customer + " 230ms"}, shares.asked)
			} else {
				require.Empty(t, shares.asked)
			}
			require.Equal(t, test.refused, err != nil)
			if test.refused {
				require.Equal(t, overload.KindShare, overload.KindOf(err))
				return
			}
			require.InDelta(t, test.maxLoad, b.Restrict(endpoint.Query{}).MaxLoad, 1e-9)
			b.Abandoned(now)
		})
	}
}

// TestControllerForgetsServices guards against memory that grows with the services that routes ever had,
// and against services that are forgotten while a program waits.
func TestControllerForgetsServices(t *testing.T) {
	c, d, now := started(0.9, nil)
	d.setRunning(95)
	waiting, err := c.Begin(newRequest(now), now)
	require.NoError(t, err)
	for i := range 1000 {
		now = now.Add(time.Second)
		c.Observe(fmt.Sprint("service-", i), now)
	}
	require.LessOrEqual(t, c.ServiceCount(), 13)
	waiting.Abandoned(now)
	require.InDelta(t, 0.95, c.LoadRatio(now), 1e-9)
}

// TestConcurrentBeginnings guards against counts that are lost between goroutines; the race detector
// checks the rest.
func TestConcurrentBeginnings(t *testing.T) {
	c, d, now := started(0.9, &recordedShares{})
	d.setRunning(120)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			for range 200 {
				b, err := c.Begin(newRequest(now), now)
				switch {
				case err != nil:
				case i%3 == 0:
					b.Admitted(now)
				case i%3 == 1:
					_ = b.Expired(now)
				default:
					b.Abandoned(now)
				}
				c.LoadRatio(now)
			}
		})
	}
	wg.Wait()
	b, err := c.Begin(newRequest(now.Add(2*time.Second)), now.Add(2*time.Second))
	require.NoError(t, err)
	require.Zero(t, b.Inputs().Waiting)
	b.Abandoned(now)
}

// BenchmarkBegin measures the decision on one program with the load of a directory, at the design size.
func BenchmarkBegin(b *testing.B) {
	for _, endpoints := range []int{44, 1000} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			d := endpoint.NewDirectory()
			for i := range endpoints {
				d.Put(endpoint.Registration{ID: fmt.Sprint("e-", i), Service: "s", Slots: 6}, time.Now())
			}
			c := overload.New(overload.Config{Directory: d})
			time.Sleep(250 * time.Millisecond)
			for b.Loop() {
				now := time.Now()
				beginning, err := c.Begin(newRequest(now), now)
				if err != nil {
					b.Fatal(err)
				}
				beginning.Admitted(now)
			}
		})
	}
}

// TestDemandIsThatOfWholePrograms guards against demand that counts one turn of a program, or a program
// again for each of its retries, which makes customers seem smaller or larger than they are.
func TestDemandIsThatOfWholePrograms(t *testing.T) {
	shares := &recordedShares{}
	c, d, now := started(0.9, shares)
	d.setRunning(50)
	for range 10 {
		b, err := c.Begin(newRequest(now), now)
		require.NoError(t, err)
		b.Admitted(now)
		for range 3 {
			c.Observe("s", now)
		}
	}
	r := newRequest(now)
	r.Customer = "customer"
	for _, waited := range []time.Duration{0, 100 * time.Millisecond} {
		r.Waited = waited
		b, err := c.Begin(r, now)
		require.NoError(t, err)
		b.Abandoned(now)
	}
	require.Equal(t, []string{"customer 920ms"}, shares.asked, "four turns of 230 ms")
}
