package gateway

import (
	"errors"
	"time"
)

// UseRecorder records the engine time that customers use.
type UseRecorder interface {
	// Run records that an engine has worked for a customer, which is empty if callers need no key.
	Run(customer string, cost time.Duration, now time.Time)
	// Level returns the use of a customer and the fair share of a capacity in slots, both in
	// seconds of engine time a second.
	Level(customer string, capacity float64, now time.Time) (use, fairShare float64)
}

// recordUse records the engine time of an attempt that began at sentAt and ended with err. Requests
// that wait inside the engine use none, but the front can't tell that time from the rest.
func (s *streaming) recordUse(sentAt time.Time, err error) {
	if s.Shares == nil || errors.Is(err, errNotRun) || errors.Is(err, errUnconfirmed) || notRun(err) {
		return
	}
	now := time.Now()
	s.Shares.Run(s.customer.Name, now.Sub(sentAt), now)
}
