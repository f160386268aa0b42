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
	// crashRetry is the wait advised after a crash: by then every home knows.
	crashRetry = 2 * time.Second
	// reportTimeout bounds the report of a crash.
	reportTimeout = 5 * time.Second
)

// checkCrashes refuses a model call that has crashed engines before.
func (h *Home) checkCrashes(r *resident, call program.Call) error {
	if h.config.Crashes == nil || call.Type() != program.ModelCall || call.Number() != r.program.NextNumber() {
		return nil
	}
	if h.config.Crashes.Verdict(r.program.Digest().RequestDigest(call)) == quarantine.Quarantined {
		return program.NewError(program.ErrorConfig{
			Op: "check request", Kind: program.KindQuarantined, Outcome: program.InDoubt,
			Err: errors.New("the request has crashed two engines and is not run again"),
		})
	}
	return nil
}

// suspect reports whether the call ran when an engine crashed.
func (u *run) suspect() bool {
	return u.home.config.Crashes != nil && u.home.config.Crashes.Verdict(u.digest()) == quarantine.Suspect
}

// digest returns the digest of the call on top of its history.
func (u *run) digest() program.Digest {
	return u.reservation.PreviousDigest().RequestDigest(u.reservation.Call())
}

// crashed reports that the engine ended its connection while the call ran.
func (u *run) crashed() { u.reportCrash(quarantine.Event{Request: u.digest()}) }

// survived reports that a suspect ran without a crash.
func (u *run) survived() { u.reportCrash(quarantine.Event{Request: u.digest(), Cleared: true}) }

func (u *run) reportCrash(e quarantine.Event) {
	if u.home.config.Crashes == nil {
		return
	}
	ctx, cancel := context.WithTimeout(u.home.ctx, reportTimeout)
	defer cancel()
	if err := u.home.config.Crashes.Report(ctx, e); err != nil {
		u.home.config.Log.Error("crash can't be reported", zap.Stringer("request", e.Request), zap.Error(err))
	}
}
