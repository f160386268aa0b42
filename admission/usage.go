package admission

import (
	"math"
	"time"
)

// usage is an exponentially weighted moving average of the slots in use.
type usage struct {
	// slotSeconds is the slot time used, decayed up to updatedAt.
	slotSeconds float64
	updatedAt   time.Time
}

// add records slot time used.
func (u *usage) add(service time.Duration, now time.Time) {
	u.decay(now)
	u.slotSeconds += service.Seconds()
}

// meanSlots returns the mean number of slots in use.
func (u *usage) meanSlots(now time.Time) float64 {
	u.decay(now)
	return u.slotSeconds / usageTimeConstant.Seconds()
}

// decay reduces the weight of past use to what it is at now; a time before the last
// update changes nothing.
func (u *usage) decay(now time.Time) {
	if elapsed := now.Sub(u.updatedAt); elapsed > 0 && !u.updatedAt.IsZero() {
		u.slotSeconds *= math.Exp(-elapsed.Seconds() / usageTimeConstant.Seconds())
	}
	if now.After(u.updatedAt) {
		u.updatedAt = now
	}
}
