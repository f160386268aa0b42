package home

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/quarantine"
)

const (
	// crashRetryDelay is the retry delay advised after a crash; by then the
	// report has reached every home.
	crashRetryDelay = 2 * time.Second
	// crashReportTimeout bounds the report of a crash.
	crashReportTimeout = 5 * time.Second
)

// checkQuarantine returns an error of program.KindQuarantined for a model call
// that has crashed engines before.
func (h *Home) checkQuarantine(r *residentProgram, call program.Call) error {
	if h.config.Crashes == nil || call.Type() != program.ModelCall || call.Number() != r.program.NextNumber() {
		return nil
	}
	if h.config.Crashes.Verdict(r.program.Digest().RequestDigest(call)) == quarantine.Quarantined {
		return program.NewError(program.ErrorConfig{
			Op: "check request", Kind: program.KindQuarantined, Outcome: program.InDoubt,
			Err: errors.New("request has crashed two engines and is not run again"),
		})
	}
	return nil
}

// isSuspect reports whether an engine crashed once while the same request ran.
func (x *execution) isSuspect() bool {
	return x.home.config.Crashes != nil && x.home.config.Crashes.Verdict(x.requestDigest()) == quarantine.Suspect
}

// requestDigest returns the digest that identifies the call together with the
// history before it.
func (x *execution) requestDigest() program.Digest {
	return x.reservation.PreviousDigest().RequestDigest(x.reservation.Call())
}

// reportCrash reports that the engine broke off while the call ran.
func (x *execution) reportCrash() { x.reportEvent(quarantine.Event{Request: x.requestDigest()}) }

// reportCleared reports that a suspect request ran without a crash.
func (x *execution) reportCleared() {
	x.reportEvent(quarantine.Event{Request: x.requestDigest(), Cleared: true})
}

// reportEvent publishes an event about the call, unless no tracker is
// configured.
func (x *execution) reportEvent(e quarantine.Event) {
	if x.home.config.Crashes == nil {
		return
	}
	ctx, cancel := context.WithTimeout(x.home.ctx, crashReportTimeout)
	defer cancel()
	if err := x.home.config.Crashes.Report(ctx, e); err != nil {
		x.home.config.Logger.Error("can't report whether a request crashed its engine", zap.Stringer("request", e.Request), zap.Error(err))
	}
}
