package memory

import (
	"container/list"
	"sync"
)

const (
	// requestShare is the part of the capacity of a Budget that connections with a request in progress
	// may hold. The rest stays free for connections whose requests have not been read: without it,
	// those would be closed for new connections at once, instead of being refused with an answer.
	requestShare = 0.9
	// largeShare is the part up to which large requests begin. The rest stays free for ordinary ones,
	// which a few large requests would shut out otherwise.
	largeShare = 0.75
	// largeBytes is the cost from which a request counts as large; ordinary heads cost less than 20 KiB.
	largeBytes = 64 << 10
	// maxUnclosed is the number of evicted connections that may still be open before Open waits for
	// them: until its goroutine has ended, an evicted connection holds memory that is no longer counted.
	maxUnclosed = 64
)

// use is what bytes are reserved for.
type use uint8

const (
	// opening is for a new connection.
	opening use = iota
	// growing is for a request that has not arrived whole.
	growing
	// beginning is for a request that has arrived whole and is then served.
	beginning
)

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	// CapacityBytes is what all connections may hold together; 0 is unlimited.
	CapacityBytes int64
	// ConnectionBytes is counted for each open connection.
	ConnectionBytes int64
}

// Budget bounds what connections and the heads of their requests hold together. When it is used up,
// the connection that has waited longest for a request is closed. It is safe for concurrent use.
type Budget struct {
	config BudgetConfig
	// mu guards the fields below and those of all shares.
	mu   sync.Mutex
	used int64
	open int
	// waiting holds the *Share of the connections without a complete request, the one that has
	// waited longest first; waitingBytes is what they hold.
	waiting      *list.List
	waitingBytes int64
	// unclosed is the number of evicted shares that are not closed; changed is signaled when it falls.
	unclosed int
	changed  *sync.Cond
}

// Share is what one connection holds of a Budget. Its methods are safe for concurrent use; those of a
// nil Share, or of one from a nil Budget, do nothing and never fail.
type Share struct {
	budget *Budget
	// evict closes the connection.
	evict func()
	bytes int64
	// position is the place in Budget.waiting, nil while a request is served.
	position *list.Element
	evicted  bool
	closed   bool
}

// NewBudget returns a budget without connections.
func NewBudget(c BudgetConfig) *Budget {
	b := &Budget{config: c, waiting: list.New()}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Open counts a new connection, which waits for its first request, and returns nil if there is no
// room even without all other connections that wait. The owner of the share must call Close once the
// connection has been closed; evict closes it early, is called at most once and must not block.
//
// A nil Budget has no bound, and returns a share without one.
func (b *Budget) Open(evict func()) *Share {
	if b == nil {
		return &Share{}
	}
	s := &Share{budget: b, evict: evict}
	b.mu.Lock()
	for b.unclosed >= maxUnclosed {
		b.changed.Wait()
	}
	ok, evicted := b.makeRoomLocked(s, b.config.ConnectionBytes, opening)
	if ok {
		b.open++
		b.addLocked(s, b.config.ConnectionBytes)
		b.setWaitingLocked(s, true)
	}
	b.mu.Unlock()
	closeAll(evicted)
	if !ok {
		return nil
	}
	return s
}

// UsedBytes returns what all connections hold together.
func (b *Budget) UsedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Connections returns the number of connections that are open and not evicted.
func (b *Budget) Connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Grow adds bytes of a request that has not arrived whole. It returns an error of KindExhausted and
// adds nothing if the connection is the one that has waited longest or no other one can be closed,
// and of KindEvicted after an eviction.
func (s *Share) Grow(bytes int64) error { return s.reserve(bytes, growing) }

// Begin adds the bytes that serving a request takes. From then on the connection is not evicted,
// until Wait is called. Errors are as those of Grow.
func (s *Share) Begin(bytes int64) error { return s.reserve(bytes, beginning) }

// reserve adds bytes, and ends the wait for a request if one begins.
func (s *Share) reserve(bytes int64, kind use) error {
	const op = "reserve memory of connection"
	if s == nil || s.budget == nil {
		return nil
	}
	b := s.budget
	b.mu.Lock()
	if s.evicted || s.closed {
		b.mu.Unlock()
		return Errorf(op, KindEvicted, "the connection had waited longest for a request, or is closed")
	}
	ok, evicted := b.makeRoomLocked(s, bytes, kind)
	used := b.used
	if ok {
		b.addLocked(s, bytes)
		if kind == beginning {
			b.setWaitingLocked(s, false)
		}
	}
	b.mu.Unlock()
	closeAll(evicted)
	if !ok {
		return Errorf(op, KindExhausted, "%d bytes do not fit beside %d; the limit is %d bytes", bytes, used, b.config.CapacityBytes)
	}
	return nil
}

// Wait notes that the connection begins to wait for a request or for the rest of one, after all
// others that wait.
func (s *Share) Wait() {
	if s == nil || s.budget == nil {
		return
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.evicted && !s.closed {
		b.setWaitingLocked(s, true)
	}
}

// Shrink takes bytes off.
func (s *Share) Shrink(bytes int64) {
	if s == nil || s.budget == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.addLocked(s, -min(bytes, s.bytes))
}

// Close gives all bytes back, after the connection has been closed.
func (s *Share) Close() {
	if s == nil || s.budget == nil {
		return
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	if s.evicted {
		b.unclosed--
		b.changed.Signal()
		return
	}
	b.removeLocked(s)
}

// makeRoomLocked evicts the connections that have waited longest until further bytes of s fit, and
// returns whether they do. A request that begins may have any other waiting connection closed, a head
// that grows only those that have waited longer. The second result must be passed to closeAll
// without the lock.
func (b *Budget) makeRoomLocked(s *Share, bytes int64, kind use) (bool, []*Share) {
	limit := b.config.CapacityBytes
	if limit == 0 {
		return true, nil
	}
	othersWaiting := b.waitingBytes
	if s.position != nil {
		othersWaiting -= s.bytes
	}
	// held is what all hold that can't be evicted, s included. What can't fit beside it must not cost
	// others their connections.
	held, heldLimit := b.used-othersWaiting+bytes, limit
	switch {
	case kind == beginning && s.bytes+bytes-b.config.ConnectionBytes >= largeBytes:
		heldLimit = int64(largeShare * float64(limit))
	case kind == beginning:
		heldLimit = int64(requestShare * float64(limit))
	}
	if held > heldLimit {
		return false, nil
	}
	var evicted []*Share
	for b.used+bytes > limit {
		longest := b.waiting.Front()
		if longest == s.position {
			if kind == growing {
				return false, evicted
			}
			longest = longest.Next()
		}
		victim := longest.Value.(*Share)
		victim.evicted = true
		b.unclosed++
		b.removeLocked(victim)
		evicted = append(evicted, victim)
	}
	return true, evicted
}

// removeLocked takes a connection and all its bytes off.
func (b *Budget) removeLocked(s *Share) {
	b.open--
	b.addLocked(s, -s.bytes)
	b.setWaitingLocked(s, false)
}

// setWaitingLocked adds a connection to those that wait, after all others, or removes it.
func (b *Budget) setWaitingLocked(s *Share, waiting bool) {
	switch {
	case waiting && s.position != nil:
		b.waiting.MoveToBack(s.position)
	case waiting:
		s.position = b.waiting.PushBack(s)
		b.waitingBytes += s.bytes
	case s.position != nil:
		b.waiting.Remove(s.position)
		s.position = nil
		b.waitingBytes -= s.bytes
	}
}

// addLocked changes what a connection holds.
func (b *Budget) addLocked(s *Share, bytes int64) {
	s.bytes += bytes
	b.used += bytes
	if s.position != nil {
		b.waitingBytes += bytes
	}
}

// closeAll closes evicted connections.
func closeAll(evicted []*Share) {
	for _, s := range evicted {
		s.evict()
	}
}
