package convert

import (
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/program"
)

// HandleToProto converts a handle.
func HandleToProto(h program.Handle) *peerpb.Handle {
	m := &peerpb.Handle{
		Program: h.Program().Bytes(), Home: h.Home(), Incarnation: h.Incarnation(), Epoch: h.Epoch(),
		Turn: h.Turn(), Digest: h.Digest().Bytes(), Offset: h.JournalPosition(), Class: h.Class(), Caller: h.Caller(),
		ParentHome: h.ParentHome(), Key: h.Key(), Carried: []byte(h.CarriedRecords()),
	}
	if !h.Parent().IsZero() {
		m.Parent = h.Parent().Bytes()
	}
	return m
}

// HandleFromProto converts a handle. It fails with program.KindInvalid when an id or the
// digest is malformed.
func HandleFromProto(m *peerpb.Handle) (program.Handle, error) {
	id, err := program.IDFromBytes(m.GetProgram())
	if err != nil {
		return program.Handle{}, err
	}
	digest, err := program.DigestFromBytes(m.GetDigest())
	if err != nil {
		return program.Handle{}, err
	}
	parent, err := OptionalProgramID(m.GetParent())
	if err != nil {
		return program.Handle{}, err
	}
	return program.NewHandle(program.HandleConfig{
		Program: id, Caller: m.GetCaller(), Key: m.GetKey(), Class: m.GetClass(), Home: m.GetHome(),
		Incarnation: m.GetIncarnation(), Epoch: m.GetEpoch(), Turn: m.GetTurn(), Digest: digest,
		JournalPosition: m.GetOffset(), Parent: parent, ParentHome: m.GetParentHome(), CarriedRecords: string(m.GetCarried()),
	}), nil
}

// OptionalProgramID returns the program id in b, or the zero id when b is empty. It fails
// with program.KindInvalid when b has any other length than an id.
func OptionalProgramID(b []byte) (program.ID, error) {
	if len(b) == 0 {
		return program.ID{}, nil
	}
	return program.IDFromBytes(b)
}
