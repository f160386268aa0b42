package frame_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/frame"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
)

// FuzzReader checks that frames of any content are read without a panic, byte for byte as
// they are in the input, and that only input that ends between two frames ends with io.EOF.
func FuzzReader(f *testing.F) {
	var wire bytes.Buffer
	w := frame.NewWriter(&wire)
	require.NoError(f, w.Write(&peerpb.Reply{Text: []byte("text")}))
	require.NoError(f, w.Write(&peerpb.Reply{}))
	f.Add(wire.Bytes())
	f.Add(wire.Bytes()[:wire.Len()-2])
	f.Add(binary.BigEndian.AppendUint32(nil, frame.MaxBytes+1))
	f.Add([]byte{0, 0, 0, 2, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := frame.NewReader(bytes.NewReader(data))
		rest := data
		for {
			message, err := r.Next()
			if err != nil {
				require.Equal(t, len(rest) == 0, errors.Is(err, io.EOF), err)
				break
			}
			require.Equal(t, binary.BigEndian.AppendUint32(nil, uint32(len(message))), rest[:4])
			require.True(t, bytes.Equal(message, rest[4:4+len(message)]))
			rest = rest[4+len(message):]
		}
		decoder := frame.NewReader(bytes.NewReader(data))
		reply := &peerpb.Reply{}
		for decoder.Read(reply) == nil {
			require.NoError(t, frame.NewWriter(io.Discard).Write(reply))
		}
	})
}
