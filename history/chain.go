package history

import (
	"github.com/lavendervale/lavendervale/program"
)

// chainEnd is the latest valid record of a program, as far as a stream has been read.
type chainEnd struct {
	lastRecordID RecordID
	position     Position
	// epoch is the epoch of the record: how often the program has been taken over.
	epoch uint64
}

// chainEnds holds the latest valid record of each program of one stream.
type chainEnds map[program.ID]chainEnd

// accept reports whether a record at a position is valid, and if so makes it the latest
// record of its program. A record is valid when it names the latest record as its
// previous one and carries the same epoch, or the next epoch when it is of TypeAdopted. A
// repeat of the latest record is valid too and changes nothing. Records after the end of a
// program are valid as others are: the answer to a call that was running, a takeover, and
// what its children return come then.
func (ends chainEnds) accept(r Record, at Position) bool {
	end, ok := ends[r.Program()]
	if !ok {
		return ends.acceptFirst(r, at)
	}
	if r.ID() == end.lastRecordID {
		return true
	}
	if r.Previous() != end.lastRecordID {
		return false
	}
	recordType := r.Body().Type()
	switch {
	case recordType == TypeStarted:
		return false
	case recordType == TypeAdopted && r.Epoch() != end.epoch+1:
		return false
	case recordType != TypeAdopted && r.Epoch() != end.epoch:
		return false
	}
	ends[r.Program()] = chainEnd{lastRecordID: r.ID(), position: at, epoch: r.Epoch()}
	return true
}

// acceptFirst accepts the first record that is read of a program. It must be a started
// record, or a snapshot, which comes first when the records before it have expired.
func (ends chainEnds) acceptFirst(r Record, at Position) bool {
	recordType := r.Body().Type()
	if recordType != TypeStarted && recordType != TypeSnapshot {
		return false
	}
	ends[r.Program()] = chainEnd{lastRecordID: r.ID(), position: at, epoch: r.Epoch()}
	return true
}
