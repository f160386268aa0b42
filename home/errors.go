package home

import (
	"errors"
	"fmt"
	"time"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// unavailableRetryDelay is the retry delay advised to callers when a
	// dependency does not answer.
	unavailableRetryDelay = 500 * time.Millisecond
)

// unavailableError returns an error of program.KindUnavailable with a retry
// delay.
func unavailableError(op string, outcome program.Outcome, err error) error {
	return program.NewError(program.ErrorConfig{
		Op: op, Kind: program.KindUnavailable, Outcome: outcome, RetryAfter: unavailableRetryDelay, Err: err,
	})
}

// serviceError converts an error of a service or its ledger to a program error.
func serviceError(err error) error {
	c := program.ErrorConfig{Op: "run service call", Kind: program.KindUnavailable, Outcome: program.NotRun, RetryAfter: unavailableRetryDelay, Err: err}
	switch order.KindOf(err) {
	case order.KindRefused:
		c.Kind = program.KindInvalid
		c.RetryAfter = 0
	case order.KindOverloaded:
		c.Kind = program.KindOverloaded
	case order.KindFenced:
		c.Kind = program.KindMoved
		c.Outcome = program.InDoubt
	case order.KindInDoubt:
		c.Outcome = program.InDoubt
	}
	return program.NewError(c)
}

// isFinalDoubt reports whether the ledger itself declared an order in doubt, so
// that asking again is pointless.
func isFinalDoubt(err error) bool {
	var e *order.Error
	return errors.As(err, &e) && e.Final()
}

// movedError returns an error for a program that another home owns. The call
// may have run there, so its outcome is in doubt.
func movedError(op string, id program.ID) error {
	return inDoubtRefusal(op, program.KindMoved, "", fmt.Errorf("program %s is owned by another home", id))
}

// inDoubtRefusal returns an error of a home that can't tell whether the call
// ran, for example because another home owns the program. owner is the instance
// that owns the program, empty when unknown.
func inDoubtRefusal(op string, kind program.Kind, owner string, err error) error {
	return program.NewError(program.ErrorConfig{
		Op: op, Kind: kind, Outcome: program.InDoubt, RetryAfter: retryDelay(kind), Home: owner, Err: err,
	})
}

// orderInDoubtError returns the error for an order whose outcome can no longer
// be found out.
func orderInDoubtError(number uint32) error {
	return program.NewError(program.ErrorConfig{
		Op: "settle order", Kind: program.KindInDoubt, Outcome: program.InDoubt,
		Err: fmt.Errorf("order %d may have run, its ledger can no longer tell", number),
	})
}

// retryDelay returns the retry delay advised for a kind of error, 0 for none.
func retryDelay(kind program.Kind) time.Duration {
	if kind == program.KindUnavailable {
		return unavailableRetryDelay
	}
	return 0
}

// loadError converts an error of the journal to a program error.
func loadError(op string, err error) error {
	kind := program.KindUnavailable
	switch history.KindOf(err) {
	case history.KindNotFound:
		kind = program.KindNotFound
	case history.KindSuperseded:
		kind = program.KindMoved
	case history.KindCorrupt:
		kind = program.KindInternal
	}
	return inDoubtRefusal(op, kind, "", err)
}
