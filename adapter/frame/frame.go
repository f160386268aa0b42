package frame

import (
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

const (
	// headerBytes is the size of the length prefix.
	headerBytes = 4
	// MaxBytes is the largest message in a frame, in bytes without the length prefix.
	MaxBytes = 16 << 20
	// initialBufferBytes is the initial capacity of a buffer.
	initialBufferBytes = 1 << 10
	// maxReusedBufferBytes is the largest capacity of a buffer that is reused for the next
	// frame, so that one large frame does not occupy memory until the stream ends.
	maxReusedBufferBytes = 64 << 10
)

// Writer writes messages as frames. It is not safe for concurrent use.
type Writer struct {
	writer io.Writer
	// buffer holds the frame being written and is reused for the next one.
	buffer []byte
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{writer: w, buffer: make([]byte, 0, initialBufferBytes)}
}

// Write writes m as one frame, with a single call of the underlying writer. Nothing is
// written when Append refuses m.
func (w *Writer) Write(m proto.Message) error {
	buffer, err := Append(w.buffer[:0], m)
	if err != nil {
		return err
	}
	if cap(buffer) <= maxReusedBufferBytes {
		w.buffer = buffer
	}
	_, err = w.writer.Write(buffer)
	return err
}

// Append appends m to buffer as one frame. It fails when m can't be encoded or is larger than
// MaxBytes.
func Append(buffer []byte, m proto.Message) ([]byte, error) {
	start := len(buffer)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(append(buffer, 0, 0, 0, 0), m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	size := len(buffer) - start - headerBytes
	if size > MaxBytes {
		return nil, trace.LimitExceeded("frame of %d bytes exceeds the maximum of %d bytes", size, MaxBytes)
	}
	binary.BigEndian.PutUint32(buffer[start:], uint32(size))
	return buffer, nil
}

// Reader reads messages from frames. It is not safe for concurrent use.
type Reader struct {
	reader io.Reader
	header [headerBytes]byte
	// buffer holds the message of the last frame and is reused for the next one.
	buffer []byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{reader: r, buffer: make([]byte, 0, initialBufferBytes)}
}

// Read decodes the next frame into m, which is reset first. Its errors are those of Next,
// and that of decoding.
func (r *Reader) Read(m proto.Message) error {
	data, err := r.Next()
	if err != nil {
		return err
	}
	return trace.Wrap(proto.Unmarshal(data, m))
}

// Next returns the encoded message of the next frame, valid until the next call. It returns
// io.EOF at the end of the input, io.ErrUnexpectedEOF when the input ends within a frame,
// and an error when the frame is larger than MaxBytes.
func (r *Reader) Next() ([]byte, error) {
	if _, err := io.ReadFull(r.reader, r.header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(r.header[:]))
	if size > MaxBytes {
		return nil, trace.LimitExceeded("frame of %d bytes exceeds the maximum of %d bytes", size, MaxBytes)
	}
	buffer := r.buffer
	if cap(buffer) < size {
		buffer = make([]byte, size)
	}
	buffer = buffer[:size]
	if cap(buffer) <= maxReusedBufferBytes {
		r.buffer = buffer
	}
	if _, err := io.ReadFull(r.reader, buffer); err != nil {
		return nil, unexpectedEOF(err)
	}
	return buffer, nil
}

// unexpectedEOF turns io.EOF, which means that no byte of the message was read, into
// io.ErrUnexpectedEOF, as the length prefix was.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
