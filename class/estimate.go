package class

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets, bucketsPerDoubling to each doubling. The
	// first holds what is below 1 ms, the last what is at least 2^23.5 ms (over three
	// hours).
	bucketCount        = 96
	bucketsPerDoubling = 4
	// minObservations is the decayed count below which no estimate is given.
	minObservations = 8.0
	// observationDecay is the factor on earlier observations at each new one.
	observationDecay = 0.999
	// firstBucketWidth is the upper bound of the first bucket.
	firstBucketWidth = time.Millisecond
)

// ServiceEstimate estimates the service that programs of a class need in all, and the
// service that remains for a program that has had some (the mean residual life). It
// keeps a histogram of finished programs with logarithmic buckets.
type ServiceEstimate struct {
	// countByBucket is the decayed number of programs by bucket of their service.
	countByBucket [bucketCount]float64
	// sumByBucket is the decayed sum of their service, in nanoseconds.
	sumByBucket [bucketCount]float64
	// totalCount is the decayed number of all programs.
	totalCount float64
}

// NewServiceEstimate returns an estimate without observations.
func NewServiceEstimate() *ServiceEstimate { return &ServiceEstimate{} }

// Observe adds a finished program that needed the given service. The weight of earlier
// observations decays exponentially.
func (e *ServiceEstimate) Observe(service time.Duration) {
	for i := range e.countByBucket {
		e.countByBucket[i] *= observationDecay
		e.sumByBucket[i] *= observationDecay
	}
	b := bucketIndex(service)
	e.countByBucket[b]++
	e.sumByBucket[b] += float64(service)
	e.totalCount = e.totalCount*observationDecay + 1
}

// Remaining returns the expected service that remains for a program that has had
// attained, or false when there are too few observations. A program that has had more
// than nearly all observed ones is expected to need as much again.
func (e *ServiceEstimate) Remaining(attained time.Duration) (time.Duration, bool) {
	if e.totalCount < minObservations {
		return 0, false
	}
	var count, sum float64
	for b := bucketIndex(attained) + 1; b < bucketCount; b++ {
		count += e.countByBucket[b]
		sum += e.sumByBucket[b]
	}
	if count < 1 {
		return attained, true
	}
	return time.Duration(max(0, sum/count-float64(attained))), true
}

// Mean returns the mean service of a program, or false when there are too few
// observations.
func (e *ServiceEstimate) Mean() (time.Duration, bool) {
	if e.totalCount < minObservations {
		return 0, false
	}
	var sum float64
	for _, s := range e.sumByBucket {
		sum += s
	}
	return time.Duration(sum / e.totalCount), true
}

// bucketIndex returns the bucket that a service of d falls in.
func bucketIndex(d time.Duration) int {
	units := float64(d) / float64(firstBucketWidth)
	if units < 1 {
		return 0
	}
	return min(bucketCount-1, 1+int(math.Log2(units)*bucketsPerDoubling))
}
