package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault names a kind of fault that a schedule draws.
type Fault string

// Faults of fronts, of endpoints, of the store, of the connections between them and of callers.
const (
	// FaultKill, FaultStop, FaultPause and FaultHangup send a signal to a front.
	FaultKill   Fault = "kill"
	FaultStop   Fault = "stop"
	FaultPause  Fault = "pause"
	FaultHangup Fault = "hangup"
	// FaultKillAll kills all fronts at once.
	FaultKillAll Fault = "kill-all"
	// FaultEarlyStop and FaultEarlyHangup signal a front within milliseconds of its start.
	FaultEarlyStop   Fault = "early-stop"
	FaultEarlyHangup Fault = "early-hangup"
	// FaultOverlap stops a front and starts its successor at the same moment.
	FaultOverlap Fault = "overlap"
	// FaultPipe starts a front with a pipe as standard output whose reader closes later.
	FaultPipe Fault = "pipe"
	// FaultSettings starts a front whose settings file is empty or cut off at first.
	FaultSettings Fault = "settings"

	// FaultCrash, FaultVersion and FaultReplace end an endpoint, which comes back as it was,
	// with another software version, or under a new ID.
	FaultCrash   Fault = "crash"
	FaultVersion Fault = "version"
	FaultReplace Fault = "replace"
	// FaultBreak and FaultCut end answers of an endpoint early, with a close or a reset.
	FaultBreak Fault = "break"
	FaultCut   Fault = "cut"
	// FaultUnframed makes an endpoint send answers that end with their connection.
	FaultUnframed Fault = "unframed"
	// FaultLate makes an endpoint send copies of earlier answers on connections used again.
	FaultLate Fault = "late"
	// FaultLeave makes an endpoint drain and end.
	FaultLeave Fault = "leave"
	// FaultLateEntry lets a third of the endpoints that come back write their first entry with their
	// next heartbeat. It is not drawn by itself.
	FaultLateEntry Fault = "late-entry"

	// FaultStoreAway, FaultStoreSlow, FaultStoreReset, FaultStoreLose and FaultStoreSilent
	// make the store refuse, delay, break off, carry out without an answer, or ignore calls.
	FaultStoreAway   Fault = "store-away"
	FaultStoreSlow   Fault = "store-slow"
	FaultStoreReset  Fault = "store-reset"
	FaultStoreLose   Fault = "store-lose"
	FaultStoreSilent Fault = "store-silent"

	// FaultConfig publishes a configuration.
	FaultConfig Fault = "config"

	// FaultLinkDelay, FaultLinkReset, FaultLinkOneWay and FaultLinkSilent harm the connections
	// of a front to the store or of an endpoint to all fronts.
	FaultLinkDelay  Fault = "link-delay"
	FaultLinkReset  Fault = "link-reset"
	FaultLinkOneWay Fault = "link-oneway"
	FaultLinkSilent Fault = "link-silent"

	// FaultSpeed changes the speed of an engine by a factor of 0.4 to 2.5.
	FaultSpeed Fault = "speed"

	// FaultSlowReader lets callers read their answers slowly or stop reading, FaultFlood lets one
	// customer send many times its usual load, and FaultHostileHead opens connections to a front
	// with heads that are odd, too long or incomplete.
	FaultSlowReader  Fault = "slow-reader"
	FaultFlood       Fault = "flood"
	FaultHostileHead Fault = "hostile-head"
)

// faults lists all faults with how often they are drawn.
var faults = []struct {
	fault  Fault
	weight int
}{
	{FaultKill, 3}, {FaultStop, 3}, {FaultPause, 2}, {FaultHangup, 2}, {FaultKillAll, 1}, {FaultEarlyStop, 2}, {FaultEarlyHangup, 2},
	{FaultOverlap, 2}, {FaultPipe, 2}, {FaultSettings, 2},
	{FaultCrash, 4}, {FaultVersion, 4}, {FaultReplace, 2}, {FaultBreak, 3}, {FaultCut, 2}, {FaultUnframed, 3}, {FaultLate, 3}, {FaultLeave, 2}, {FaultLateEntry, 0},
	{FaultStoreAway, 1}, {FaultStoreSlow, 1}, {FaultStoreReset, 1}, {FaultStoreLose, 1}, {FaultStoreSilent, 1},
	{FaultConfig, 3},
	{FaultLinkDelay, 2}, {FaultLinkReset, 2}, {FaultLinkOneWay, 2}, {FaultLinkSilent, 2},
	{FaultSpeed, 3}, {FaultSlowReader, 2}, {FaultFlood, 2}, {FaultHostileHead, 2},
}

const (
	// firstFault is when the first fault may begin, and calm how long before the end of a run
	// the last one has ended.
	firstFault = 2 * time.Second
	calm       = 8 * time.Second
	// meanGap is the mean time between two faults that don't come together.
	meanGap = 1100 * time.Millisecond
)

// event is a fault at a time of the schedule.
type event struct {
	at    time.Duration
	fault Fault
	// target chooses among the processes that the fault can meet.
	target int
	// span is how long the fault lasts.
	span time.Duration
	// variant chooses among the forms of a fault.
	variant int
}

// String returns the event as a line of the schedule.
func (e event) String() string {
	return fmt.Sprintf("%7.3fs %s target=%d span=%s variant=%d", e.at.Seconds(), e.fault, e.target, e.span, e.variant)
}

// ParseFaults returns the faults that a comma list allows: those it names, or, if it names only
// faults with a minus sign, all others. An empty list allows all.
func ParseFaults(list string) ([]Fault, error) {
	var named, excluded []Fault
	for name := range strings.SplitSeq(list, ",") {
		name, minus := strings.CutPrefix(strings.TrimSpace(name), "-")
		if name == "" {
			continue
		}
		if !slices.ContainsFunc(faults, func(f struct {
			fault  Fault
			weight int
		}) bool {
			return f.fault == Fault(name)
		}) {
			return nil, Errorf("parse faults", KindInvalid, "no fault is named %q", name)
		}
		if minus {
			excluded = append(excluded, Fault(name))
		} else {
			named = append(named, Fault(name))
		}
	}
	var allowed []Fault
	for _, f := range faults {
		if (len(named) == 0 || slices.Contains(named, f.fault)) && !slices.Contains(excluded, f.fault) {
			allowed = append(allowed, f.fault)
		}
	}
	return allowed, nil
}

// draw returns the schedule of a seed: faults in series, and groups of two to four that overlap.
func draw(seed uint64, duration time.Duration, allowed []Fault) []event {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	var bag []Fault
	for _, f := range faults {
		if slices.Contains(allowed, f.fault) {
			bag = append(bag, slices.Repeat([]Fault{f.fault}, f.weight)...)
		}
	}
	var events []event
	if len(bag) == 0 {
		return nil
	}
	for at := firstFault; ; {
		at += time.Duration(random.ExpFloat64() * float64(meanGap)).Round(time.Millisecond)
		count := 1
		if random.IntN(3) == 0 {
			count = 2 + random.IntN(3)
		}
		for range count {
			e := event{
				at: at, fault: bag[random.IntN(len(bag))], target: random.IntN(1 << 16), variant: random.IntN(1 << 16),
				span: time.Duration(200+random.IntN(3300)) * time.Millisecond,
			}
			if e.at+e.span > duration-calm {
				return events
			}
			events = append(events, e)
			at += time.Duration(random.IntN(60)) * time.Millisecond
		}
	}
}
