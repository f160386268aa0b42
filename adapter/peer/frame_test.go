package peer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/lavendervale/lavendervale/adapter/frame"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
)

// FuzzFrame checks that any bytes are refused or read as messages whose
// conversion does not panic.
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
			_, _ = toStartRequest(request.GetStart())
			_, _ = toBeat(request.GetBeat())
			_, _ = toServe(request.GetServe())
			if _, err := proto.Marshal(request); err != nil {
				t.Fatal(err)
			}
		}
	})
}
