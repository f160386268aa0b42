package peer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/lavendervale/lavendervale/adapter/frame"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
)

// FuzzFrame checks that arbitrary bytes from another process are either rejected or
// decoded, and that converting the decoded requests does not panic.
func FuzzFrame(f *testing.F) {
	var wire bytes.Buffer
	start := &peerpb.Request{Body: &peerpb.Request_Start{Start: &peerpb.Start{Caller: "c", Parent: []byte{1}}}}
	require.NoError(f, frame.NewWriter(&wire).Write(start))
	f.Add(wire.Bytes())
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := frame.NewReader(bytes.NewReader(data))
		request := &peerpb.Request{}
		for r.Read(request) == nil {
			_, _ = startRequestFromProto(request.GetStart())
			_, _ = beatFromProto(request.GetBeat())
			_, _ = serviceRequestFromProto(request.GetServe())
			if _, err := proto.Marshal(request); err != nil {
				t.Fatal(err)
			}
		}
	})
}
