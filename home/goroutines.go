package home

import "sync"

// goroutineGroup tracks the goroutines of a home. Unlike a plain sync.WaitGroup
// it refuses new ones once it is closed.
type goroutineGroup struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// spawn runs f in a goroutine. It returns false without running f when the
// group is closed.
func (g *goroutineGroup) spawn(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.group.Go(f)
	return true
}

// close makes later calls of spawn fail.
func (g *goroutineGroup) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// wait blocks until all goroutines have ended.
func (g *goroutineGroup) wait() { g.group.Wait() }
