package endpoint

import "time"

const (
	// newConnectionTime is the time that a connection left idle by an earlier request saves: a
	// round trip, and the setup at the endpoint.
	newConnectionTime = 2 * time.Millisecond
	// reuseWindow is how long after a request its connection is likely to be open still, and
	// reuseWindowOnce how long it is used for requests that must not be lost with it.
	reuseWindow, reuseWindowOnce = 4 * time.Second, 900 * time.Millisecond
	// unbiasedShare is the share of requests that are placed as if no connection were open, so
	// that endpoints without one are tried too, above all those that were down.
	unbiasedShare = 0.05
	// maxIdleConnections bounds the idle connections that are counted.
	maxIdleConnections = 6
)

// idleConnections estimates the connections of this instance to an endpoint that carry no request.
type idleConnections struct {
	count int
	// lastAt is when the latest one became idle.
	lastAt time.Time
}

// add notes that a request has left its connection idle.
func (c *idleConnections) add(now time.Time) {
	if now.Sub(c.lastAt) > reuseWindow {
		c.count = 0
	}
	c.count, c.lastAt = min(maxIdleConnections, c.count+1), now
}

// take notes that a request takes a connection, an idle one if there is any.
func (c *idleConnections) take() { c.count = max(0, c.count-1) }

// saving returns the time that a request saves at the endpoint by an idle connection.
func (c *idleConnections) saving(once bool, now time.Time) time.Duration {
	window := reuseWindow
	if once {
		window = reuseWindowOnce
	}
	if c.count == 0 || now.Sub(c.lastAt) > window {
		return 0
	}
	return newConnectionTime
}
