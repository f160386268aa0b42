package memory

import "sync"

const (
	// minCapacity is the smallest capacity of a buffer, in bytes.
	minCapacity = 512
	// slowGrowthBytes is the capacity from which a buffer grows by a quarter instead of twofold.
	slowGrowthBytes = 256 << 10
)

// Config holds the settings of a Limiter.
type Config struct {
	// CapacityBytes is what all reservations may hold together; 0 is unlimited.
	CapacityBytes int64
}

// Limiter keeps the reservations of all requests within its capacity. It is safe for
// concurrent use.
type Limiter struct {
	capacity int64
	// mu guards the fields below and those of all reservations.
	mu   sync.Mutex
	used int64
	// open holds the reservations that hold bytes.
	open      map[*Reservation]struct{}
	evictions int64
}

// Reservation is what one request holds. Its methods are safe for concurrent use; those of a
// nil Reservation do nothing and never fail.
type Reservation struct {
	limiter *Limiter
	bytes   int64
	// evict ends the request; a reservation without it is not evicted.
	evict   func()
	evicted bool
	closed  bool
}

// New returns a limiter without reservations.
func New(c Config) *Limiter {
	return &Limiter{capacity: c.CapacityBytes, open: map[*Reservation]struct{}{}}
}

// Open returns an empty reservation; its owner must call Close. A nil Limiter returns nil.
func (l *Limiter) Open() *Reservation {
	if l == nil {
		return nil
	}
	return &Reservation{limiter: l}
}

// UsedBytes returns what all reservations hold together.
func (l *Limiter) UsedBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Evictions returns how many requests were ended because they held most.
func (l *Limiter) Evictions() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evictions
}

// OnEvict sets the function that ends the request if it has to give up its bytes. It is called
// in a goroutine of its own, at most once.
func (r *Reservation) OnEvict(evict func()) {
	if r == nil {
		return
	}
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.evict = evict
}

// Grow adds bytes to the reservation. At the capacity of the limiter it evicts those that hold
// more than this one would; if that is not enough, it returns an error of KindExhausted and adds
// nothing. After an eviction it returns an error of KindEvicted.
func (r *Reservation) Grow(bytes int64) error {
	const op = "reserve memory"
	if r == nil {
		return nil
	}
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.evicted {
		return Errorf(op, KindEvicted, "the request held more memory than any other")
	}
	for !l.fitsLocked(bytes) {
		largest := l.largestLocked()
		if largest == nil || largest == r || largest.bytes <= r.bytes+bytes {
			return Errorf(op, KindExhausted, "%d bytes and %d more do not fit beside the %d bytes of other requests; the limit is %d bytes", r.bytes, bytes, l.used-r.bytes, l.capacity)
		}
		l.evictLocked(largest)
	}
	l.addLocked(r, bytes)
	return nil
}

// TryGrow adds bytes to the reservation if they fit without evicting another one, and reports
// whether it did.
func (r *Reservation) TryGrow(bytes int64) bool {
	if r == nil {
		return true
	}
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.evicted || !l.fitsLocked(bytes) {
		return false
	}
	l.addLocked(r, bytes)
	return true
}

// Append appends data to buffer and adds the growth of its capacity to the reservation. On an
// error of Grow it returns buffer as it was.
func (r *Reservation) Append(buffer, data []byte) ([]byte, error) {
	if needed := len(buffer) + len(data); needed > cap(buffer) {
		capacity := max(needed, nextCapacity(cap(buffer)))
		if err := r.Grow(int64(capacity - cap(buffer))); err != nil {
			return buffer, err
		}
		grown := make([]byte, len(buffer), capacity)
		copy(grown, buffer)
		buffer = grown
	}
	return append(buffer, data...), nil
}

// nextCapacity returns the capacity that follows that of a full buffer.
func nextCapacity(capacity int) int {
	if capacity < slowGrowthBytes {
		return max(minCapacity, 2*capacity)
	}
	return capacity + capacity/4
}

// Shrink takes bytes off the reservation.
func (r *Reservation) Shrink(bytes int64) {
	if r == nil {
		return
	}
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.limiter.addLocked(r, -min(bytes, r.bytes))
}

// Close gives all bytes back; nothing can be added after it.
func (r *Reservation) Close() {
	if r == nil {
		return
	}
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	r.closed = true
	r.limiter.addLocked(r, -r.bytes)
}

// fitsLocked reports whether further bytes fit.
func (l *Limiter) fitsLocked(bytes int64) bool {
	return l.capacity == 0 || l.used+bytes <= l.capacity
}

// largestLocked returns the reservation that holds most of those that can be evicted, or nil.
func (l *Limiter) largestLocked() *Reservation {
	var largest *Reservation
	for r := range l.open {
		if r.evict != nil && (largest == nil || r.bytes > largest.bytes) {
			largest = r
		}
	}
	return largest
}

// evictLocked takes all bytes of a reservation and ends its request.
func (l *Limiter) evictLocked(r *Reservation) {
	r.evicted = true
	l.evictions++
	l.addLocked(r, -r.bytes)
	go r.evict()
}

// addLocked changes what an open reservation holds.
func (l *Limiter) addLocked(r *Reservation, bytes int64) {
	if r.closed && bytes > 0 {
		return
	}
	r.bytes += bytes
	l.used += bytes
	if r.bytes > 0 {
		l.open[r] = struct{}{}
		return
	}
	delete(l.open, r)
}
