package soak

import (
	"math"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lavendervale/lavendervale/standin/store"
	"github.com/lavendervale/lavendervale/standin/wire"
)

// inject plays a schedule and waits until its last fault has ended.
func (s *site) inject(events []event, stop <-chan struct{}) {
	var active sync.WaitGroup
	defer active.Wait()
	for _, e := range events {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(s.observer.began.Add(e.at))):
		}
		s.logf("fault %s", e)
		active.Go(func() {
			if err := s.apply(e); err != nil {
				s.logf("fault %s: %v", e.fault, err)
			}
		})
	}
}

// apply makes a fault happen and returns when it has ended.
func (s *site) apply(e event) error {
	switch e.fault {
	case FaultConfig:
		s.configure()
	case FaultStoreAway:
		s.spoilStore(store.Unavailable, 0, e.span)
	case FaultStoreSlow:
		s.spoilStore(store.NoFault, time.Duration(50+e.variant%450)*time.Millisecond, e.span)
	case FaultStoreReset:
		s.spoilStore(store.ConnectionReset, 0, e.span)
	case FaultStoreLose:
		s.spoilStore(store.AppendResponseLost, 0, e.span)
	case FaultStoreSilent:
		s.spoilStore(store.Silent, 0, e.span)
	case FaultCrash, FaultVersion, FaultReplace, FaultBreak, FaultCut, FaultUnframed, FaultLate, FaultLeave:
		return s.applyToEndpoint(e)
	case FaultLinkDelay, FaultLinkReset, FaultLinkOneWay, FaultLinkSilent:
		s.applyToLink(e)
	case FaultSpeed:
		s.engines[e.target%len(s.engines)].setSpeed(slowest*math.Pow(fastest/slowest, float64(e.variant%1000)/999), e.span)
	case FaultSlowReader, FaultFlood:
		s.playFor(e)
	case FaultHostileHead:
		s.applyHostileHeads(e, s.fronts[e.target%len(s.fronts)])
	case FaultKillAll:
		for _, f := range s.fronts {
			f.process().end(syscall.SIGKILL, e.span)
		}
	default:
		return s.applyToFront(e, s.fronts[e.target%len(s.fronts)])
	}
	return nil
}

// end signals a process, after which the front stays down for a while.
func (p *process) end(signal syscall.Signal, stay time.Duration) {
	p.mu.Lock()
	p.stay = stay
	p.mu.Unlock()
	p.signal(signal)
}

// replaceBy ends a front's process and starts the next one in a certain way.
func (f *front) replaceBy(how launch) error {
	p := f.process()
	p.end(syscall.SIGKILL, time.Hour)
	<-p.done
	return f.start(how, p)
}

// applyToFront makes a fault of a front happen.
func (s *site) applyToFront(e event, f *front) error {
	switch e.fault {
	case FaultKill:
		f.process().end(syscall.SIGKILL, e.span)
	case FaultStop:
		f.process().end(syscall.SIGTERM, 0)
	case FaultPause:
		f.process().pause(e.span)
	case FaultHangup:
		if e.variant%2 == 0 {
			if err := f.writeSettings(float64(e.variant%100) / 100); err != nil {
				return err
			}
			defer func() { _ = f.writeSettings(1) }()
		}
		for range 1 + e.variant%3 {
			f.process().signal(syscall.SIGHUP)
			time.Sleep(time.Duration(e.variant%20) * time.Millisecond)
		}
	case FaultEarlyStop, FaultEarlyHangup:
		signal := syscall.SIGTERM
		if e.fault == FaultEarlyHangup {
			signal = syscall.SIGHUP
		}
		if err := f.replaceBy(launch{name: string(e.fault)}); err != nil {
			return err
		}
		p := f.process()
		time.Sleep(time.Duration(e.variant%8000) * time.Microsecond)
		p.signal(signal)
	case FaultOverlap:
		p := f.process()
		p.signal(syscall.SIGTERM)
		time.Sleep(time.Duration(e.variant%300) * time.Millisecond)
		return f.start(launch{name: string(e.fault)}, p)
	case FaultPipe:
		return f.replaceBy(launch{name: string(e.fault), pipeSpan: e.span})
	case FaultSettings:
		partial := 0.0
		if e.variant%2 == 0 {
			partial = float64(e.variant%100) / 100
		}
		return f.replaceBy(launch{name: string(e.fault), partial: partial, partialSpan: min(e.span, time.Second)})
	}
	return nil
}

// applyToEndpoint makes a fault of an endpoint happen.
func (s *site) applyToEndpoint(e event) error {
	all := s.endpoints()
	target := all[e.target%len(all)]
	s.logf("%s at %s", e.fault, target.name())
	switch e.fault {
	case FaultBreak:
		target.setMood(moodBreak, e.span)
	case FaultCut:
		target.setMood(moodCut, e.span)
	case FaultUnframed:
		target.setMood(moodUnframed, e.span)
	case FaultLate:
		target.setMood(moodLate, e.span)
	case FaultLeave:
		target.leave()
		time.Sleep(e.span)
		return target.returnAs(true, e.variant%3 == 0)
	case FaultVersion:
		if err := target.restart(e, false, true); err != nil {
			return err
		}
		// The next endpoint follows at once, as when a version is rolled out.
		time.Sleep(time.Duration(e.variant%400) * time.Millisecond)
		return s.neighbor(target).restart(e, false, true)
	default:
		return target.restart(e, e.fault == FaultReplace, e.fault == FaultReplace && e.variant%2 == 0)
	}
	return nil
}

// restart crashes an endpoint and starts its next incarnation.
func (e *endpoint) restart(f event, newID, newVersion bool) error {
	e.crash()
	// A short time away is the usual one of a process that is started again at once.
	away := f.span
	if f.variant%3 == 0 {
		away /= 10
	}
	time.Sleep(away)
	return e.returnAs(newID, newVersion)
}

// neighbor returns the next endpoint of the same service.
func (s *site) neighbor(e *endpoint) *endpoint {
	same := s.services
	if e.streaming {
		same = s.engines
	}
	return same[(slices.Index(same, e)+1)%len(same)]
}

// applyToLink harms the connections of an endpoint, or of a front to the store.
func (s *site) applyToLink(e event) {
	var relay *wire.Relay
	if e.variant%3 == 0 {
		f := s.fronts[e.target%len(s.fronts)]
		f.harm(e.span)
		relay = f.relay
	} else {
		all := s.endpoints()
		target := all[e.target%len(all)]
		target.disrupted()
		defer target.disrupted()
		relay = target.relay
	}
	switch e.fault {
	case FaultLinkDelay:
		relay.SetDelay(time.Duration(1+e.variant%60) * time.Millisecond)
	case FaultLinkReset:
		relay.Reset()
		return
	case FaultLinkOneWay:
		relay.Silence(e.variant%2 == 0, e.variant%2 == 1)
	case FaultLinkSilent:
		relay.Silence(true, true)
	}
	time.Sleep(e.span)
	relay.Restore()
}
