package share

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// halfLife is the time in which sums of demand and use decay to a half. A burst of a few
	// seconds is seen within one, and the programs of a customer, of which each front has a few a
	// second, still average out.
	halfLife = 2 * time.Second
	// activeDuration is how long after its last request, turn or report a customer counts for the
	// fair share.
	activeDuration = 2 * time.Second
	// refreshInterval is the least time between two computations of the fair share. It is that
	// between two datagrams of a front, so that little is missed.
	refreshInterval = 100 * time.Millisecond
	// maxCustomers bounds the customers in memory; the design size is 10,000.
	maxCustomers = 16_384
	// evictedCustomers is how many are evicted at once, so that the sort that finds the least used
	// ones is rare.
	evictedCustomers = maxCustomers / 16
	// underRatio is the part of the fair share up to which a customer is clearly under it. Equal
	// customers are all near their share, half of them below it: if these had precedence, nearly all
	// programs would have (in the simulation of two equal customers the load was 0.995 in place of
	// 0.9; with this ratio 0.934). At 0.8 the largest customers got 10 of a share of 15 slots.
	underRatio = 0.9
	// maxElapsed is the age of the time base from which it is renewed, so that the factors of
	// growth stay far below the greatest float64.
	maxElapsed = 64 * halfLife
)

// Config describes a Ledger.
type Config struct {
	// Self is the name of this front; reports under it are ignored.
	Self string
}

// Ledger records the engine time that customers ask for and use, here and by reports of other
// fronts. It is safe for concurrent use.
type Ledger struct {
	config Config

	mu sync.Mutex
	// customers holds the state of each customer, index its position by the hash of its name.
	customers []customer
	index     map[uint64]int
	// reports holds the last report of each other front.
	reports map[string]*report
	// startedAt is the time of the first operation.
	startedAt time.Time
	// now is the latest time that a caller gave: clocks read before a lock may arrive out of order.
	now time.Time
	// base is the time at which decayed sums are stored without a factor, see growth.
	base time.Time
	// refreshedAt is when levels and dilation were computed; zero before the first time.
	refreshedAt time.Time
	levels      levels
	// unlisted is the part of customers that reports do not list, at refreshedAt.
	unlisted unlisted
	// totalUse is the use of all customers together at refreshedAt, in seconds a second.
	totalUse float64
}

// customer is the state of one customer. Decayed sums are in milliseconds times growth.
type customer struct {
	id uint64
	// activeAt is the time of the last sign of demand since Ledger.startedAt: the wall clock may be set.
	activeAt time.Duration
	// own is what this front recorded.
	own sums
	// reported is the sum of the last reports of other fronts in milliseconds, faded that of
	// reports which have expired.
	reported reportedSums
	faded    sums
	// listed is the number of reports in reported.
	listed int
}

// sums holds decayed sums of the engine time that was asked for and used.
type sums struct{ asked, used float64 }

// reportedSums holds sums in whole milliseconds, so that what was added can be subtracted exactly.
type reportedSums struct{ asked, used int64 }

// New returns a ledger without a customer.
func New(c Config) *Ledger {
	return &Ledger{config: c, index: map[uint64]int{}, reports: map[string]*report{}}
}

// Ask records that a customer asks for engine time, whether it gets it or not.
func (l *Ledger) Ask(customer string, cost time.Duration, now time.Time) {
	l.record(customer, now, func(s *sums, growth float64) { s.asked += milliseconds(cost) * growth })
}

// Run records that an engine has worked for a customer.
func (l *Ledger) Run(customer string, cost time.Duration, now time.Time) {
	l.record(customer, now, func(s *sums, growth float64) { s.used += milliseconds(cost) * growth })
}

// record changes the own sums of a customer.
func (l *Ledger) record(name string, now time.Time, change func(*sums, float64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	c := l.customer(hash(name))
	c.activeAt = now.Sub(l.startedAt)
	change(&c.own, l.growth(now))
}

// Over reports whether a customer uses more than its max-min fair share of a capacity, in seconds of
// engine time a second, which is the number of slots. It is false for a request without a customer.
func (l *Ledger) Over(customer string, capacity float64, now time.Time) bool {
	if customer == "" {
		return false
	}
	use, fairShare := l.Level(customer, capacity, now)
	return use > fairShare
}

// Under reports whether a customer is clearly below its max-min fair share while the capacity is not
// enough for all, so that its programs may go before those of others. It is false for a request
// without a customer, and if no other customer is known.
func (l *Ledger) Under(customer string, capacity float64, now time.Time) bool {
	if customer == "" {
		return false
	}
	use, fairShare := l.Level(customer, capacity, now)
	return !math.IsInf(fairShare, 1) && use < underRatio*fairShare
}

// Level returns what Over compares: the use of a customer and the fair share, in seconds of engine
// time a second. The fair share is infinite if the capacity is enough for all demand, or if there
// is no other customer. Where the use of all customers exceeds the capacity, since engines have
// requests waiting inside, each counts with the same part of its use, so that never all are over.
func (l *Ledger) Level(customer string, capacity float64, now time.Time) (use, fairShare float64) {
	if math.IsNaN(capacity) {
		return 0, math.Inf(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	if l.refreshedAt.IsZero() || now.Sub(l.refreshedAt) >= refreshInterval {
		l.refresh(now)
	}
	fairShare = l.levels.level(capacity)
	if len(l.levels.demands) < 2 {
		fairShare = math.Inf(1)
	}
	if i, ok := l.index[hash(customer)]; ok {
		use = l.rates(&l.customers[i], l.growth(now)).used
	}
	if l.totalUse > capacity {
		use *= max(0, capacity) / l.totalUse
	}
	return use, fairShare
}

// refresh computes the levels from the demand of all active customers; l.mu must be held.
func (l *Ledger) refresh(now time.Time) {
	l.refreshedAt = now
	l.expireReports(now)
	growth, activeFrom, active := l.growth(now), now.Sub(l.startedAt)-activeDuration, 0
	for i := range l.customers {
		if l.customers[i].activeAt >= activeFrom {
			active++
		}
	}
	l.unlisted = l.divideOthers(active)
	demands := l.levels.demands[:0]
	l.totalUse = 0
	for i := range l.customers {
		c := &l.customers[i]
		if c.activeAt < activeFrom {
			continue
		}
		r := l.rates(c, growth)
		l.totalUse += r.used
		demands = append(demands, max(r.asked, r.used))
	}
	l.levels.set(demands)
}

// rates returns the engine time that a customer asks for and uses, in seconds a second; l.mu must be
// held.
func (l *Ledger) rates(c *customer, growth float64) sums {
	hidden := l.unlisted.part(c.listed)
	return sums{
		asked: perSecond((c.own.asked+c.faded.asked)/growth + float64(c.reported.asked) + hidden.asked),
		used:  perSecond((c.own.used+c.faded.used)/growth + float64(c.reported.used) + hidden.used),
	}
}

// customer returns the state of a customer, which is valid until the next call; l.mu must be held.
func (l *Ledger) customer(id uint64) *customer {
	i, ok := l.index[id]
	if !ok {
		l.makeRoom(1)
		i = len(l.customers)
		l.customers = append(l.customers, customer{id: id})
		l.index[id] = i
	}
	return &l.customers[i]
}

// advance returns the time of an operation, which is never before that of an earlier one, and renews
// the time base of the decayed sums when it is old; l.mu must be held.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.Before(l.now) {
		return l.now
	}
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	l.now = now
	if l.base.IsZero() || now.Sub(l.base) > maxElapsed {
		decay := 1 / l.growth(now)
		for i := range l.customers {
			c := &l.customers[i]
			c.own, c.faded = c.own.times(decay), c.faded.times(decay)
		}
		l.base = now
	}
	return now
}

// growth returns the factor of what is added to decayed sums at a time. That grows in place of a
// decay of all sums, which would cost a pass over all customers each time.
func (l *Ledger) growth(at time.Time) float64 {
	return math.Exp2(float64(at.Sub(l.base)) / float64(halfLife))
}

func (s sums) times(f float64) sums { return sums{asked: s.asked * f, used: s.used * f} }

// perSecond returns the steady rate, in seconds a second, of which a decayed sum in milliseconds is
// the result.
func perSecond(sumMS float64) float64 {
	return sumMS / 1000 * math.Ln2 / halfLife.Seconds()
}

// milliseconds returns a duration as a number, 0 if it is negative.
func milliseconds(d time.Duration) float64 {
	return max(0, float64(d)/float64(time.Millisecond))
}

// hash identifies a customer to all fronts.
func hash(name string) uint64 { return xxhash.Sum64String(name) }
