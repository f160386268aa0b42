package frame_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/frame"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
)

// TestFramesRoundTrip checks that messages are read as they were written, also a small one
// after one that is too large for its buffer to be reused.
func TestFramesRoundTrip(t *testing.T) {
	var wire bytes.Buffer
	w := frame.NewWriter(&wire)
	texts := []string{"", "a", string(make([]byte, 200_000)), "after"}
	for _, text := range texts {
		require.NoError(t, w.Write(&peerpb.Reply{Text: []byte(text)}))
	}
	r := frame.NewReader(&wire)
	reply := &peerpb.Reply{}
	for _, text := range texts {
		require.NoError(t, r.Read(reply))
		require.Equal(t, text, string(reply.GetText()))
	}
	require.ErrorIs(t, r.Read(reply), io.EOF)
}

func TestFrameReaderRefusesInvalidFrames(t *testing.T) {
	tooLong := binary.BigEndian.AppendUint32(nil, frame.MaxBytes+1)
	truncated := binary.BigEndian.AppendUint32(nil, 10)
	tests := []struct {
		name string
		data []byte
	}{
		{name: "too long", data: tooLong},
		{name: "truncated", data: append(truncated, 1, 2)},
		{name: "not a message", data: []byte{0, 0, 0, 2, 0xff, 0xff}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Error(t, frame.NewReader(bytes.NewReader(test.data)).Read(&peerpb.Request{}))
		})
	}
}
