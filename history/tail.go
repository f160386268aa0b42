package history

import (
	"github.com/lavendervale/lavendervale/program"
)

// tail is what a stream's reader keeps of a program: its latest valid record.
type tail struct {
	last     RecordID
	position Position
	epoch    uint64
	ended    bool
}

// tails maps the programs of one stream to their latest records.
type tails map[program.ID]tail

// apply decides whether a record at a position is valid: it must follow the
// program's latest record and carry its epoch, or adopt with the next one.
func (t tails) apply(r Record, at Position) bool {
	have, ok := t[r.Program()]
	if !ok {
		return t.applyFirst(r, at)
	}
	if r.ID() == have.last {
		return true
	}
	if r.Previous() != have.last {
		return false
	}
	step := r.Body().Step()
	switch {
	case step == StepStarted:
		return false
	case step == StepAdopted && r.Epoch() != have.epoch+1:
		return false
	case step != StepAdopted && r.Epoch() != have.epoch:
		return false
	}
	t[r.Program()] = tail{last: r.ID(), position: at, epoch: r.Epoch(), ended: have.ended || step == StepFinished}
	return true
}

// applyFirst takes the first record of a program: its start, or a snapshot
// when the records before it have expired.
func (t tails) applyFirst(r Record, at Position) bool {
	step := r.Body().Step()
	if step != StepStarted && step != StepSnapshot {
		return false
	}
	t[r.Program()] = tail{last: r.ID(), position: at, epoch: r.Epoch()}
	return true
}
