package record

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	recordpb "github.com/lavendervale/lavendervale/api/record/v1"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/quarantine"
)

// EncodeCrash returns the encoding of an event of the quarantine stream: a request that
// was running when its engine crashed, or a suspect request that has been cleared.
func EncodeCrash(e quarantine.Event) ([]byte, error) {
	data, err := proto.Marshal(&recordpb.Crash{Version: formatVersion, Request: e.Request.Bytes(), Cleared: e.Cleared})
	return data, trace.Wrap(err)
}

// DecodeCrash returns the event encoded by EncodeCrash. The error is set when data is not
// a message of the event's type, or its digest is invalid.
func DecodeCrash(data []byte) (quarantine.Event, error) {
	m := &recordpb.Crash{}
	if err := proto.Unmarshal(data, m); err != nil {
		return quarantine.Event{}, trace.Wrap(err)
	}
	request, err := program.DigestFromBytes(m.GetRequest())
	return quarantine.Event{Request: request, Cleared: m.GetCleared()}, trace.Wrap(err)
}
