package permit

import (
	"sync"
	"time"
)

const (
	// slices is the number of parts of a window in which requests are counted. A request
	// counts until its part has left the window.
	slices = 50
	// assumedUse is the part of a quota that a customer is taken to have used, evenly over the
	// window, before the first request: another front may have admitted it.
	assumedUse = 0.9
)

// Quota bounds the requests of a customer in every span of a length.
type Quota struct {
	// Most is the number of requests.
	Most float64
	// Span is the length.
	Span time.Duration
}

// Windows counts the requests of customers. It is safe for concurrent use.
type Windows struct {
	mu         sync.Mutex
	byCustomer map[string]*window
	startedAt  time.Time
}

// window counts the requests of one customer.
type window struct {
	counts [slices]float64
	total  float64
	// slice numbers the latest part of the window, from startedAt on.
	slice int64
}

// NewWindows returns counters without a request, which begin now.
func NewWindows(now time.Time) *Windows {
	return &Windows{byCustomer: map[string]*window{}, startedAt: now}
}

// Take counts a request of a customer and returns 0. If the quota is used up it does not, and
// returns how long until it is not.
func (w *Windows) Take(customer string, q Quota, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	length, slice := w.slice(q, now)
	c, ok := w.byCustomer[customer]
	if !ok {
		c = &window{slice: slice}
		for i := range c.counts {
			c.counts[i] = assumedUse * q.Most / slices
		}
		c.total = assumedUse * q.Most
		w.byCustomer[customer] = c
	}
	c.advance(slice)
	if c.total+1 > q.Most {
		return c.wait(q.Most, length)
	}
	c.counts[slice%slices]++
	c.total++
	return 0
}

// GiveBack takes back a request that was counted and has not run.
func (w *Windows) GiveBack(customer string, q Quota, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.byCustomer[customer]
	if !ok || c.total < 1 {
		return
	}
	_, slice := w.slice(q, now)
	c.advance(slice)
	c.counts[slice%slices]--
	c.total--
}

// slice returns the length of the parts of a window and the number of the present one.
func (w *Windows) slice(q Quota, now time.Time) (time.Duration, int64) {
	length := max(time.Millisecond, q.Span/(slices-1))
	return length, int64(now.Sub(w.startedAt) / length)
}

// advance drops the parts that have left the window.
func (c *window) advance(slice int64) {
	for n := 0; c.slice < slice && n < slices; n++ {
		c.slice++
		c.total -= c.counts[c.slice%slices]
		c.counts[c.slice%slices] = 0
	}
	c.slice = max(c.slice, slice)
}

// wait returns how long until enough parts have left the window for one more request.
func (c *window) wait(most float64, length time.Duration) time.Duration {
	total := c.total
	for n := int64(1); n < slices; n++ {
		total -= c.counts[(c.slice+n)%slices]
		if total+1 <= most {
			return time.Duration(n) * length
		}
	}
	return slices * length
}
