package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

const (
	// maxEventBytes limits the memory used for one event.
	maxEventBytes = 1 << 20
)

var (
	dataPrefix      = []byte("data:")
	doneData        = []byte("[DONE]")
	errEventTooLong = errors.New("server-sent event is longer than 1 MiB")
)

// eventReader reads the data of server-sent events. It expects a single data line in each
// event, as engines send them, and ignores all other lines.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 16<<10)}
}

// next returns the data of the next event, which is valid until the next call. It returns
// io.EOF at the closing event, [DONE], and io.ErrUnexpectedEOF if the stream ends without
// one.
func (e *eventReader) next() ([]byte, error) {
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return nil, io.EOF
		}
		return data, nil
	}
}

// readLine returns the next line, with its line break. A line that does not fit into the
// buffer of the reader is copied.
func (e *eventReader) readLine() ([]byte, error) {
	line, err := e.lines.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, truncationError(err)
	}
	longLine := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(longLine) > maxEventBytes {
			return nil, trace.Wrap(errEventTooLong)
		}
		line, err = e.lines.ReadSlice('\n')
		longLine = append(longLine, line...)
	}
	if err != nil {
		return nil, truncationError(err)
	}
	return longLine, nil
}

// truncationError converts a read error. The end of a stream is an error here, as a
// complete stream ends with a closing event, after which nothing is read.
func truncationError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return trace.Wrap(err)
}
