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

// Grant is one request that a keeper of quotas has counted.
type Grant struct {
	// Keeper is the name of the front that counted the request, empty if none can take it back.
	Keeper string
	// At is when it was counted, or a little earlier.
	At time.Time
}

// Windows counts the requests of customers. A front that begins to keep a quota learns from the others
// what was counted before. It is safe for concurrent use.
type Windows struct {
	mu         sync.Mutex
	byCustomer map[string]*window
	startedAt  time.Time
}

// window counts the requests of one customer.
type window struct {
	// counts holds the requests of each part of the window, before the first request those that
	// other fronts have reported; beforeTotal is the sum of the latter, total that of the others.
	counts             [slices]float64
	beforeTotal, total float64
	// slice numbers the latest part of the window, from startedAt on, first that of the first
	// request.
	slice, first int64
}

// used returns how much of a quota is used in the window. What was used before the first request is
// taken to be assumedUse of the quota, evenly, or what the fronts have reported if that is more.
func (c *window) used(most float64) float64 {
	assumed := assumedUse * most * float64(max(0, slices-(c.slice-c.first))) / slices
	return c.total + max(assumed, c.beforeTotal)
}

// add counts requests in a part of the window.
func (c *window) add(slice int64, count float64) {
	c.counts[slice%slices] += count
	if slice < c.first {
		c.beforeTotal += count
	} else {
		c.total += count
	}
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
	c := w.window(customer, slice)
	if c.used(q.Most)+1 > q.Most {
		return c.wait(q.Most, length)
	}
	c.add(slice, 1)
	return 0
}

// window returns the window of a customer, advanced to a part; w.mu must be held.
func (w *Windows) window(customer string, slice int64) *window {
	c, ok := w.byCustomer[customer]
	if !ok {
		c = &window{slice: slice, first: slice}
		w.byCustomer[customer] = c
	}
	c.advance(slice)
	return c
}

// Report counts requests of a customer that another keeper has counted.
func (w *Windows) Report(customer string, q Quota, uses []Use, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, slice := w.slice(q, now)
	c := w.window(customer, slice)
	for _, use := range uses {
		if _, at := w.slice(q, now.Add(-use.Age)); use.Age >= 0 && use.Count > 0 && at > c.slice-slices {
			c.add(at, float64(use.Count))
		}
	}
}

// GiveBack takes back a request that was counted at takenAt, or a little later, and has not run.
// It is taken out of the part of the window that takenAt is in: taken out of a later one, it would
// make room there for a second request once the first part has left the window.
func (w *Windows) GiveBack(customer string, q Quota, takenAt, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.byCustomer[customer]; !ok || takenAt.Before(w.startedAt) || takenAt.After(now) {
		return
	}
	_, slice := w.slice(q, now)
	c := w.window(customer, slice)
	_, taken := w.slice(q, takenAt)
	if taken <= c.slice-slices || c.counts[taken%slices] < 1 {
		return
	}
	c.add(taken, -1)
}

// slice returns the length of the parts of a window and the number of the present one.
func (w *Windows) slice(q Quota, now time.Time) (time.Duration, int64) {
	length := max(time.Millisecond, q.Span/(slices-1))
	// One span more keeps the parts before the start from negative numbers.
	return length, slices + int64(now.Sub(w.startedAt)/length)
}

// advance drops the parts that have left the window.
func (c *window) advance(slice int64) {
	for n := 0; c.slice < slice && n < slices; n++ {
		c.slice++
		if c.slice-slices < c.first {
			c.beforeTotal -= c.counts[c.slice%slices]
		} else {
			c.total -= c.counts[c.slice%slices]
		}
		c.counts[c.slice%slices] = 0
	}
	c.slice = max(c.slice, slice)
}

// wait returns how long until enough parts have left the window for one more request.
func (c *window) wait(most float64, length time.Duration) time.Duration {
	later := *c
	for n := int64(1); n < slices; n++ {
		later.advance(c.slice + n)
		if later.used(most)+1 <= most {
			return time.Duration(n) * length
		}
	}
	return slices * length
}
