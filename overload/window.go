package overload

import (
	"math"
	"time"
)

const (
	// windowSpan is the length of time over which beginnings are counted.
	windowSpan = time.Second
	// bucketCount is the number of parts of the span. Counts expire by whole parts.
	bucketCount = 10
	bucketSpan  = windowSpan / bucketCount
	// maxRanks is the number of ranks that are told apart among waiting beginnings; higher ones count as
	// the last.
	maxRanks = 8
	// loadSpan is the time constant of the mean load. A turn takes 230 ms, so that a rise of the load by
	// chance lasts about as long.
	loadSpan = 300 * time.Millisecond
	// maxTurns is the number of turns from which on the counts of turns and programs are halved: about
	// ten seconds of a busy front.
	maxTurns = 200
	// fullRatio is the part of the limit below which the mean load shows that there is no excess of
	// demand any more: while there is one, programs that wait bring the load to its limit.
	fullRatio = 0.95
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
	// load is the moving average of the ratio of running requests to slots as of loadAt.
	load   float64
	loadAt time.Time
	// full is set while programs that begin are held back.
	full bool
	// turns and programs are decayed counts of turns and of the programs that they begin.
	turns, programs float64
	// lastAskedAt is when the latest turn came.
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

// observeLoad adds the load to its mean, and decides whether the engines are full: from a mean of 1 on, or
// of the limit if that is higher, until it is below fullRatio of the limit. Without this, programs would be
// refused below the capacity, each time that the load rises above the limit by chance.
func (s *service) observeLoad(load, limit float64, now time.Time) {
	if s.loadAt.IsZero() {
		s.load, s.loadAt = load, now
	}
	s.load += (1 - math.Exp(-max(0, now.Sub(s.loadAt).Seconds())/loadSpan.Seconds())) * (load - s.load)
	s.loadAt = now
	switch {
	case s.load >= max(1, limit):
		s.full = true
	case s.load < fullRatio*limit:
		s.full = false
	}
}

// countTurn counts a turn, which may begin its program.
func (s *service) countTurn(begins bool) {
	s.turns++
	if begins {
		s.programs++
	}
	if s.turns > maxTurns {
		s.turns, s.programs = s.turns/2, s.programs/2
	}
}

// turnsPerProgram returns the mean number of turns of a program so far, at least 1.
func (s *service) turnsPerProgram() float64 { return max(1, s.turns/max(1, s.programs)) }

// expectedWait returns how long a number of beginnings take at the rate at which they were admitted in
// the span. At least one is taken for admitted, so that the result is finite.
func (s *service) expectedWait(beginnings int) time.Duration {
	return time.Duration(float64(beginnings) / float64(max(1, s.total.admitted)) * float64(windowSpan))
}

func rankIndex(rank int) int { return min(max(0, rank), maxRanks-1) }
