package overload

import "time"

const (
	// windowSpan is the length of time over which beginnings are counted.
	windowSpan = time.Second
	// bucketCount is the number of parts of the span. Counts expire by whole parts.
	bucketCount = 10
	bucketSpan  = windowSpan / bucketCount
	// maxRanks is the number of ranks that are told apart among waiting beginnings; higher ones count as
	// the last.
	maxRanks = 8
)

// counts are the beginnings that ended in a span of time, by result.
type counts struct {
	// admitted is the number of those that got a slot.
	admitted int
	// refused is the number of those that were refused, expired the part that had waited for it.
	refused, expired int
}

// service is what the controller remembers of one service; the controller's mutex guards it.
type service struct {
	// buckets is a ring of the latest parts of the span, with the sum in total.
	buckets [bucketCount]counts
	total   counts
	// current is the number of the latest part, in parts since the zero time of the controller.
	current int64
	// waiting is the number of beginnings that wait, by rank.
	waiting [maxRanks]int
	// slack is the moving average of the time that programs have left, 0 before the first.
	slack time.Duration
	// lastAskedAt is when the latest beginning came.
	lastAskedAt time.Time
}

// advance takes the counts out of the sum that are older than the span, as of a part of it.
func (s *service) advance(current int64) {
	if current-s.current >= bucketCount {
		s.buckets, s.total, s.current = [bucketCount]counts{}, counts{}, current
		return
	}
	for s.current < current {
		s.current++
		oldest := &s.buckets[s.current%bucketCount]
		s.total.admitted -= oldest.admitted
		s.total.refused -= oldest.refused
		s.total.expired -= oldest.expired
		*oldest = counts{}
	}
}

// add counts beginnings in the latest part of the span.
func (s *service) add(c counts) {
	bucket := &s.buckets[s.current%bucketCount]
	for _, sum := range []*counts{bucket, &s.total} {
		sum.admitted += c.admitted
		sum.refused += c.refused
		sum.expired += c.expired
	}
}

// ahead returns the number of beginnings that wait with a rank or one that is served before it.
func (s *service) ahead(rank int) int {
	sum := 0
	for _, n := range s.waiting[:rankIndex(rank)+1] {
		sum += n
	}
	return sum
}

// allWaiting returns the number of all beginnings that wait.
func (s *service) allWaiting() int { return s.ahead(maxRanks - 1) }

// observeSlack adds the time that a program has left to its average.
func (s *service) observeSlack(slack time.Duration) {
	if s.slack == 0 {
		s.slack = slack
		return
	}
	s.slack += time.Duration(slackWeight * float64(slack-s.slack))
}

// expectedWait returns how long a number of beginnings take at the rate at which they were admitted in
// the span. At least one is taken for admitted, so that the result is finite.
func (s *service) expectedWait(beginnings int) time.Duration {
	return time.Duration(float64(beginnings) / float64(max(1, s.total.admitted)) * float64(windowSpan))
}

func rankIndex(rank int) int { return min(max(0, rank), maxRanks-1) }
