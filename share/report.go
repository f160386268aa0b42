package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxReported is the number of customers that a report lists. One more entry, of Others, sums up
	// the rest.
	MaxReported = 32
	// Others stands in a report for all customers that it does not list. Without their sum, fronts
	// that see most customers take the demand for lower than it is and the fair share for higher.
	Others = 0
	// reportLifetime is how long the report of a front counts whole; it is that of the load on
	// endpoints. Fronts report twice a second, so two reports may be lost.
	reportLifetime = 1500 * time.Millisecond
	// forgetAfter is the age at which a report has faded to a thousandth and is deleted.
	forgetAfter = reportLifetime + 10*halfLife
	// maxReports bounds the fronts whose reports are held; the design size is 300.
	maxReports = 1024
)

// Use is the engine time that a front has lately been asked for and has used for a customer, as
// decayed sums in milliseconds.
type Use struct {
	// Customer is the hash of the name, or Others.
	Customer uint64
	AskedMS  uint32
	UsedMS   uint32
}

// report is the last report of a front.
type report struct {
	at   time.Time
	uses []Use
	// leastMS is the weight of the least entry, which no customer among Others exceeds; 0 without Others.
	leastMS uint32
	// faded is set once the report has expired, so that its sums decay.
	faded bool
}

// Report returns the customers with the greatest own use or demand, at most MaxReported, in
// descending order, then the sum of the others if there are any.
func (l *Ledger) Report(now time.Time) []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	growth := l.growth(l.advance(now))
	var out []Use
	var total sums
	for i := range l.customers {
		c := &l.customers[i]
		u := Use{Customer: c.id, AskedMS: wholeMS(c.own.asked / growth), UsedMS: wholeMS(c.own.used / growth)}
		total = total.plus(u)
		if u.weight() == 0 || (len(out) == MaxReported && u.weight() <= out[MaxReported-1].weight()) {
			continue
		}
		at, _ := slices.BinarySearchFunc(out, u, func(a, b Use) int { return cmp.Compare(b.weight(), a.weight()) })
		out = slices.Insert(out[:min(len(out), MaxReported-1)], at, u)
	}
	for _, u := range out {
		total.asked, total.used = total.asked-float64(u.AskedMS), total.used-float64(u.UsedMS)
	}
	if others := (Use{Customer: Others, AskedMS: wholeMS(total.asked), UsedMS: wholeMS(total.used)}); others.weight() > 0 {
		out = append(out, others)
	}
	return out
}

func (s sums) plus(u Use) sums {
	return sums{asked: s.asked + float64(u.AskedMS), used: s.used + float64(u.UsedMS)}
}

// weight is the order in which customers are reported. One whose requests are all refused counts by
// its demand.
func (u Use) weight() uint32 { return max(u.AskedMS, u.UsedMS) }

// wholeMS returns a sum in whole milliseconds.
func wholeMS(ms float64) uint32 { return uint32(min(ms, math.MaxUint32)) }

// Apply replaces the last report of another front by one that it sent at a time. Entries beyond the
// length of a report are ignored, as are reports of more than maxReports fronts.
func (l *Ledger) Apply(front string, uses []Use, at time.Time) {
	if front == l.config.Self {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.advance(at)
	last, ok := l.reports[front]
	if !ok && len(l.reports) >= maxReports {
		l.expireReports(now)
		if len(l.reports) >= maxReports {
			return
		}
	}
	uses = slices.Clone(uses[:min(len(uses), MaxReported+1)])
	l.makeRoom(len(uses))
	if ok {
		l.count(last, -1)
	}
	r := &report{at: at, uses: uses, leastMS: leastWeight(uses)}
	l.reports[front] = r
	l.count(r, 1)
	for _, u := range uses {
		c := l.customer(u.Customer)
		c.activeAt = max(c.activeAt, at.UnixNano())
	}
}

// leastWeight returns the least weight of the listed customers, or 0 if the report has no others.
func leastWeight(uses []Use) uint32 {
	least, others := uint32(math.MaxUint32), false
	for _, u := range uses {
		if u.Customer == Others {
			others = true
			continue
		}
		least = min(least, u.weight())
	}
	if !others {
		return 0
	}
	return least
}

// appendOthers appends the demand of the customers that reports sum up as Others, as that of as few
// equal customers as they can be: each front has listed those above its leastMS. l.mu must be held.
func (l *Ledger) appendOthers(demands []float64, demand float64) []float64 {
	greatestMS := uint64(0)
	for _, r := range l.reports {
		greatestMS += uint64(r.leastMS)
	}
	if demand <= 0 || greatestMS == 0 {
		return demands
	}
	n := int(min(maxCustomers, math.Ceil(demand/perSecond(float64(greatestMS)))))
	for range n {
		demands = append(demands, demand/float64(n))
	}
	return demands
}

// expireReports lets the sums of expired reports decay, and deletes those that have faded; l.mu must
// be held.
func (l *Ledger) expireReports(now time.Time) {
	for front, r := range l.reports {
		age := now.Sub(r.at)
		if !r.faded && age > reportLifetime {
			l.count(r, -1)
			r.faded = true
			l.count(r, 1)
		}
		if age > forgetAfter {
			l.count(r, -1)
			delete(l.reports, front)
		}
	}
}

// count adds a report to the sums of its customers, or with sign -1 takes it out; l.mu must be held.
func (l *Ledger) count(r *report, sign int64) {
	growth := float64(sign) * l.growth(r.at.Add(reportLifetime))
	for _, u := range r.uses {
		c := l.customer(u.Customer)
		if r.faded {
			// Rounding may leave a little less than nothing.
			c.faded.asked = max(0, c.faded.asked+float64(u.AskedMS)*growth)
			c.faded.used = max(0, c.faded.used+float64(u.UsedMS)*growth)
			continue
		}
		c.reported.asked += sign * int64(u.AskedMS)
		c.reported.used += sign * int64(u.UsedMS)
	}
}

// makeRoom evicts the least used customers, here and from the reports, if there is no room for n more;
// l.mu must be held.
func (l *Ledger) makeRoom(n int) {
	if len(l.customers)+n <= maxCustomers {
		return
	}
	growth := l.growth(l.now)
	slices.SortFunc(l.customers, func(a, b customer) int {
		return cmp.Compare(b.use(growth)+b.demand(growth), a.use(growth)+a.demand(growth))
	})
	l.customers = l.customers[:maxCustomers-evictedCustomers]
	clear(l.index)
	for i := range l.customers {
		l.index[l.customers[i].id] = i
	}
	for _, r := range l.reports {
		r.uses = slices.DeleteFunc(r.uses, func(u Use) bool {
			_, ok := l.index[u.Customer]
			return !ok
		})
	}
}
