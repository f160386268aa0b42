package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// bucketDuration is the time that one bucket covers.
	bucketDuration = 10 * time.Second
	// bucketCount is the number of buckets kept per class; together they cover ten minutes.
	bucketCount = 60
	// maxLatencyMS is the largest recorded latency in milliseconds, one day; longer ones
	// are recorded as this.
	maxLatencyMS = 86_400_000
	// latencySignificantDigits is the number of decimal digits to which latencies are
	// recorded.
	latencySignificantDigits = 2
)

// ClassStatus summarizes the programs of a class in a window of time.
type ClassStatus struct {
	// Class is the name of the class.
	Class string
	// Started, Refused, Finished and Canceled count programs; Met counts the finished ones
	// that met the target of the class.
	Started  int64
	Refused  int64
	Finished int64
	Met      int64
	Canceled int64
	// P50 and P95 are percentiles of the latency of finished programs, from start to end;
	// 0 when none finished.
	P50 time.Duration
	P95 time.Duration
}

// statusCounters counts the programs of each class in buckets of time.
type statusCounters struct {
	mu sync.Mutex
	// bucketsByClass holds a ring buffer of buckets per class.
	bucketsByClass map[string]*[bucketCount]bucket
}

// bucket counts the programs of one class during bucketDuration.
type bucket struct {
	// index is the number of the bucket since the Unix epoch.
	index                                     int64
	started, refused, finished, met, canceled int64
	// latency holds program latencies in milliseconds; nil in an unused bucket.
	latency *hdrhistogram.Histogram
}

func newStatusCounters() *statusCounters {
	return &statusCounters{bucketsByClass: map[string]*[bucketCount]bucket{}}
}

// recordStart counts a started program, or a refused one when err is not nil. Invalid
// requests are not counted, because their class may not exist.
func (s *statusCounters) recordStart(class string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && program.KindOf(err) == program.KindInvalid {
		return
	}
	b := s.bucketLocked(class, time.Now())
	if err != nil {
		b.refused++
		return
	}
	b.started++
}

// recordEnd counts a finished or canceled program.
func (s *statusCounters) recordEnd(class string, ended home.EndResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucketLocked(class, time.Now())
	if ended.State() == program.Canceled {
		b.canceled++
		return
	}
	b.finished++
	if ended.TargetMet() {
		b.met++
	}
	_ = b.latency.RecordValue(min(maxLatencyMS, max(1, ended.Latency().Milliseconds())))
}

// bucketLocked returns the bucket of a class for now. It replaces an older bucket in the
// same place of the ring buffer. The caller holds s.mu.
func (s *statusCounters) bucketLocked(class string, now time.Time) *bucket {
	buckets, ok := s.bucketsByClass[class]
	if !ok {
		buckets = new([bucketCount]bucket)
		s.bucketsByClass[class] = buckets
	}
	index := now.UnixNano() / int64(bucketDuration)
	b := &buckets[index%bucketCount]
	if b.index != index || b.latency == nil {
		*b = bucket{index: index, latency: hdrhistogram.New(1, maxLatencyMS, latencySignificantDigits)}
	}
	return b
}

// Status summarizes the programs of each class of the configuration in force that started
// or ended at this entry in the last window, which is limited to ten minutes.
func (e *Entry) Status(window time.Duration) []ClassStatus {
	var statuses []ClassStatus
	for _, c := range e.config.Configurations.Current().Classes() {
		statuses = append(statuses, e.status.sumBuckets(c.Name(), window, time.Now()))
	}
	return statuses
}

// sumBuckets adds up the buckets of a class that overlap the last window.
func (s *statusCounters) sumBuckets(class string, window time.Duration, now time.Time) ClassStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := ClassStatus{Class: class}
	buckets, ok := s.bucketsByClass[class]
	if !ok {
		return total
	}
	oldestIndex := now.Add(-window).UnixNano() / int64(bucketDuration)
	latency := hdrhistogram.New(1, maxLatencyMS, latencySignificantDigits)
	for i := range buckets {
		b := &buckets[i]
		if b.latency == nil || b.index < oldestIndex {
			continue
		}
		total.add(b)
		latency.Merge(b.latency)
	}
	if latency.TotalCount() > 0 {
		total.P50 = time.Duration(latency.ValueAtQuantile(50)) * time.Millisecond
		total.P95 = time.Duration(latency.ValueAtQuantile(95)) * time.Millisecond
	}
	return total
}

func (c *ClassStatus) add(b *bucket) {
	c.Started += b.started
	c.Refused += b.refused
	c.Finished += b.finished
	c.Met += b.met
	c.Canceled += b.canceled
}
