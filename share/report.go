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
	// others is the entry of Others, and leastMS the weight of the least listed customer, which none
	// of the others exceeds.
	others  Use
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
	r := newReport(uses[:min(len(uses), MaxReported+1)], at)
	l.makeRoom(len(r.uses))
	if ok {
		l.count(last, -1)
	}
	l.reports[front] = r
	l.count(r, 1)
	for _, u := range r.uses {
		c := l.customer(u.Customer)
		c.activeAt = max(c.activeAt, at.Sub(l.startedAt))
	}
}

// newReport returns a report of some entries.
func newReport(entries []Use, at time.Time) *report {
	r := &report{at: at, leastMS: math.MaxUint32, uses: make([]Use, 0, len(entries))}
	for _, u := range entries {
		if u.Customer == Others {
			r.others = u
			continue
		}
		r.uses = append(r.uses, u)
		r.leastMS = min(r.leastMS, u.weight())
	}
	return r
}

// unlisted is the part of a customer in the sums of Others, if no report lists it.
type unlisted struct {
	// reports is the number of reports that count whole.
	reports int
	// sums is in microseconds, whole ones so that the order of addition does not matter.
	sums reportedSums
}

// divideOthers returns the part of each customer in the sums of Others, which are divided evenly among
// the active customers that a report does not list; l.mu must be held.
func (l *Ledger) divideOthers(active int) unlisted {
	var out unlisted
	for _, r := range l.reports {
		if r.faded {
			continue
		}
		out.reports++
		n, most := int64(max(1, active-len(r.uses))), int64(r.leastMS)*1000
		out.sums.asked += min(most, int64(r.others.AskedMS)*1000/n)
		out.sums.used += min(most, int64(r.others.UsedMS)*1000/n)
	}
	return out
}

// part returns the part of a customer that some of the reports list, in milliseconds.
func (u unlisted) part(listed int) sums {
	if u.reports == 0 {
		return sums{}
	}
	f := float64(u.reports-listed) / float64(u.reports) / 1000
	return sums{asked: f * float64(u.sums.asked), used: f * float64(u.sums.used)}
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
		c.listed += int(sign)
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
		ofA, ofB := l.rates(&a, growth), l.rates(&b, growth)
		return cmp.Compare(ofB.asked+ofB.used, ofA.asked+ofA.used)
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
