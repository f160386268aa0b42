package peer

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lavendervale/lavendervale/adapter/frame"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
)

// textField is the number of the field text of a reply.
const textField = 1

// readReply decodes the next frame; a frame that holds nothing but text, as
// most do, is returned as it is and valid until the next one is read.
func readReply(f *frame.Reader, m *peerpb.Reply) ([]byte, error) {
	data, err := f.Next()
	if err != nil {
		return nil, err
	}
	if text, ok := onlyText(data); ok {
		return text, nil
	}
	return nil, trace.Wrap(proto.Unmarshal(data, m))
}

// onlyText returns the text of an encoded reply that has no other field.
func onlyText(data []byte) ([]byte, bool) {
	number, kind, n := protowire.ConsumeTag(data)
	if n < 0 || number != textField || kind != protowire.BytesType {
		return nil, false
	}
	text, m := protowire.ConsumeBytes(data[n:])
	return text, m >= 0 && n+m == len(data)
}
