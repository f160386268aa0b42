package entry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// statusSlice is the time that one slice of the status covers.
	statusSlice = 10 * time.Second
	// statusSlices is the number of slices kept: ten minutes.
	statusSlices = 60
	// maxLatencyMS is the largest latency recorded, in milliseconds: one day.
	maxLatencyMS  = 86_400_000
	latencyDigits = 2
)

// ClassStatus tells how the programs of a class fared in some time.
type ClassStatus struct {
	// Class is the name of the class.
	Class string
	// Started, Refused, Finished, Met and Canceled count programs.
	Started  int64
	Refused  int64
	Finished int64
	Met      int64
	Canceled int64
	// P50 and P95 are latencies of whole programs.
	P50 time.Duration
	P95 time.Duration
}

// status counts the programs of each class in slices of time.
type status struct {
	mu      sync.Mutex
	classes map[string]*[statusSlices]slice
}

// slice counts the programs of one class for a short time.
type slice struct {
	number                                    int64
	started, refused, finished, met, canceled int64
	latency                                   *hdrhistogram.Histogram
}

func newStatus() *status { return &status{classes: map[string]*[statusSlices]slice{}} }

func (s *status) started(class string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && program.KindOf(err) == program.KindInvalid {
		return
	}
	at := s.sliceLocked(class, time.Now())
	if err != nil {
		at.refused++
		return
	}
	at.started++
}

func (s *status) ended(class string, ended home.EndResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.sliceLocked(class, time.Now())
	if ended.State() == program.Canceled {
		at.canceled++
		return
	}
	at.finished++
	if ended.TargetMet() {
		at.met++
	}
	_ = at.latency.RecordValue(min(maxLatencyMS, max(1, ended.Latency().Milliseconds())))
}

func (s *status) sliceLocked(class string, now time.Time) *slice {
	ring, ok := s.classes[class]
	if !ok {
		ring = new([statusSlices]slice)
		s.classes[class] = ring
	}
	number := now.UnixNano() / int64(statusSlice)
	at := &ring[number%statusSlices]
	if at.number != number || at.latency == nil {
		*at = slice{number: number, latency: hdrhistogram.New(1, maxLatencyMS, latencyDigits)}
	}
	return at
}

// Status returns how the programs of each class fared, up to ten minutes back.
func (e *Entry) Status(window time.Duration) []ClassStatus {
	var list []ClassStatus
	for _, c := range e.config.Configurations.Current().Classes() {
		list = append(list, e.status.sum(c.Name(), window, time.Now()))
	}
	return list
}

func (s *status) sum(class string, window time.Duration, now time.Time) ClassStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ClassStatus{Class: class}
	ring, ok := s.classes[class]
	if !ok {
		return out
	}
	oldest := now.Add(-window).UnixNano() / int64(statusSlice)
	latency := hdrhistogram.New(1, maxLatencyMS, latencyDigits)
	for i := range ring {
		at := &ring[i]
		if at.latency == nil || at.number < oldest {
			continue
		}
		out.add(at)
		latency.Merge(at.latency)
	}
	if latency.TotalCount() > 0 {
		out.P50 = time.Duration(latency.ValueAtQuantile(50)) * time.Millisecond
		out.P95 = time.Duration(latency.ValueAtQuantile(95)) * time.Millisecond
	}
	return out
}

func (c *ClassStatus) add(s *slice) {
	c.Started += s.started
	c.Refused += s.refused
	c.Finished += s.finished
	c.Met += s.met
	c.Canceled += s.canceled
}
