package peer

import (
	"errors"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lavendervale/lavendervale/adapter/frame"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/program"
)

// textFieldNumber is the number of the field text in the message Reply.
const textFieldNumber = 1

// errMissingBody is the cause of a reply without the body for its request.
var errMissingBody = errors.New("reply has no body for the request")

// invalidReplyError returns an error of program.KindUnavailable with the outcome
// program.InDoubt for a reply that can't be converted, as the request may have been executed
// all the same. It returns nil when err is nil.
func invalidReplyError(err error) error {
	if err == nil {
		return nil
	}
	return connectionError("read reply", program.InDoubt, err)
}

// readTextOrReply reads the next frame. Most frames hold nothing but a piece of text:
// their text is returned without being copied, valid until the next frame is read. Any
// other frame is decoded into m, and the returned text is nil.
func readTextOrReply(r *frame.Reader, m *peerpb.Reply) ([]byte, error) {
	data, err := r.Next()
	if err != nil {
		return nil, err
	}
	if text, ok := textOnly(data); ok {
		return text, nil
	}
	return nil, trace.Wrap(proto.Unmarshal(data, m))
}

// textOnly returns the text of an encoded Reply, or false when the reply has any field
// other than text.
func textOnly(data []byte) ([]byte, bool) {
	fieldNumber, wireType, tagBytes := protowire.ConsumeTag(data)
	if tagBytes < 0 || fieldNumber != textFieldNumber || wireType != protowire.BytesType {
		return nil, false
	}
	text, lengthAndTextBytes := protowire.ConsumeBytes(data[tagBytes:])
	return text, lengthAndTextBytes >= 0 && tagBytes+lengthAndTextBytes == len(data)
}
