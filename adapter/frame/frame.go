package frame

import (
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

const (
	headerBytes = 4
	// MaxBytes bounds one frame.
	MaxBytes = 16 << 20
	// firstBuffer is what a frame buffer starts with, in bytes.
	firstBuffer = 1 << 10
	// maxKeptBuffer is the largest frame buffer kept for the next frame.
	maxKeptBuffer = 64 << 10
)

// Writer writes messages as frames; one goroutine at a time may use it.
type Writer struct {
	out    io.Writer
	buffer []byte
}

// NewWriter returns a writer of frames.
func NewWriter(w io.Writer) *Writer {
	return &Writer{out: w, buffer: make([]byte, 0, firstBuffer)}
}

// Write sends one message as one frame.
func (f *Writer) Write(m proto.Message) error {
	buffer := append(f.buffer[:0], 0, 0, 0, 0)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, m)
	if err != nil {
		return trace.Wrap(err)
	}
	size := len(buffer) - headerBytes
	if size > MaxBytes {
		return trace.LimitExceeded("frame of %d bytes, at most %d are allowed", size, MaxBytes)
	}
	binary.BigEndian.PutUint32(buffer, uint32(size))
	if cap(buffer) <= maxKeptBuffer {
		f.buffer = buffer
	}
	_, err = f.out.Write(buffer)
	return err
}

// Reader reads frames; one goroutine at a time may use it.
type Reader struct {
	in     io.Reader
	header [headerBytes]byte
	buffer []byte
}

// NewReader returns a reader of frames.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: r, buffer: make([]byte, 0, firstBuffer)}
}

// Read decodes the next frame into m, which is emptied first.
func (f *Reader) Read(m proto.Message) error {
	frame, err := f.Next()
	if err != nil {
		return err
	}
	return trace.Wrap(proto.Unmarshal(frame, m))
}

// Next returns the bytes of the next frame, valid until the one after it.
func (f *Reader) Next() ([]byte, error) {
	if _, err := io.ReadFull(f.in, f.header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(f.header[:]))
	if size > MaxBytes {
		return nil, trace.LimitExceeded("frame of %d bytes, at most %d are allowed", size, MaxBytes)
	}
	buffer := f.buffer
	if cap(buffer) < size {
		buffer = make([]byte, size)
	}
	buffer = buffer[:size]
	if cap(buffer) <= maxKeptBuffer {
		f.buffer = buffer
	}
	if _, err := io.ReadFull(f.in, buffer); err != nil {
		return nil, unexpected(err)
	}
	return buffer, nil
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
