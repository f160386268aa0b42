package caller

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/api/lavendervale/v1/lavendervalev1connect"
	"github.com/lavendervale/lavendervale/program"
)

const (
	streamContentType = "application/connect+proto"
	encodingHeader    = "Connect-Content-Encoding"
	timeoutHeader     = "Connect-Timeout-Ms"
	// envelopePrefixBytes is the length of the prefix of an envelope: one byte of flags
	// and the length of the message in four bytes, big-endian.
	envelopePrefixBytes = 5
	// endStreamFlag marks the last envelope of a stream.
	endStreamFlag = 2
	// textFieldNumber is the number of CallResponse.text in program.proto.
	textFieldNumber = 1
	// initialBufferBytes is the initial capacity of the write buffer of a stream.
	initialBufferBytes = 512
)

// WithBinaryStreams returns a handler that serves uncompressed calls of Connect's binary
// streaming protocol. Unlike the Connect library, it does not allocate a message for each
// piece of text. All other requests are passed to next.
func (p *ProgramService) WithBinaryStreams(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		encoding := r.Header.Get(encodingHeader)
		isUncompressed := encoding == "" || encoding == "identity"
		isCall := r.Method == http.MethodPost && r.URL.Path == lavendervalev1connect.ProgramServiceCallProcedure
		if !isCall || !isUncompressed || r.Header.Get("Content-Type") != streamContentType {
			next.ServeHTTP(w, r)
			return
		}
		p.serveBinaryStream(w, r)
	})
}

func (p *ProgramService) serveBinaryStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", streamContentType)
	stream := &streamWriter{out: w, controller: http.NewResponseController(w), buffer: make([]byte, 0, initialBufferBytes)}
	_ = stream.writeEnd(p.runStreamCall(r, stream))
}

func (p *ProgramService) runStreamCall(r *http.Request, stream *streamWriter) error {
	const op = "read call"
	caller, err := p.keyring.Identify(r.Header)
	if err != nil {
		return err
	}
	ctx, cancel, err := requestContext(r)
	if err != nil {
		return program.Errorf(op, program.KindInvalid, "%w", err)
	}
	defer cancel()
	req := &pb.CallRequest{}
	if err := readEnvelope(r.Body, req); err != nil {
		return program.Errorf(op, program.KindInvalid, "%w", err)
	}
	call, err := convert.CallFromProto(req.GetNumber(), req)
	if err != nil {
		return err
	}
	result, err := p.entry.Call(ctx, caller, req.GetHandle(), call, stream.writeText)
	if err != nil {
		return err
	}
	return stream.writeMessage(&pb.CallResponse{Event: &pb.CallResponse_Result{Result: resultMessage(result)}})
}

// requestContext returns the context of a request, limited by the timeout in its
// Connect-Timeout-Ms header if it has one.
func requestContext(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(timeoutHeader)
	if text == "" {
		return r.Context(), func() {}, nil
	}
	timeoutMS, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(timeoutMS)*time.Millisecond)
	return ctx, cancel, nil
}

// readEnvelope decodes the only message of a request into m. It fails if the message is
// compressed or longer than maxCallBytes.
func readEnvelope(body io.Reader, m proto.Message) error {
	var prefix [envelopePrefixBytes]byte
	if _, err := io.ReadFull(body, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[1:])
	if prefix[0] != 0 || size > maxCallBytes {
		return program.Errorf("read envelope", program.KindInvalid, "envelope has flags %d and %d bytes, want no flags and at most 8 MiB", prefix[0], size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(body, data); err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}

// streamWriter writes the envelopes of one response and flushes each.
type streamWriter struct {
	out        io.Writer
	controller *http.ResponseController
	// buffer holds the envelope that is being written and is reused for the next.
	buffer []byte
}

// writeText writes a piece of text as a CallResponse. It encodes the only field by hand,
// which saves the allocation of a message.
func (s *streamWriter) writeText(text []byte) error {
	s.beginEnvelope(0)
	s.buffer = protowire.AppendTag(s.buffer, textFieldNumber, protowire.BytesType)
	s.buffer = protowire.AppendBytes(s.buffer, text)
	return s.sendEnvelope()
}

func (s *streamWriter) writeMessage(m proto.Message) error {
	s.beginEnvelope(0)
	var err error
	if s.buffer, err = (proto.MarshalOptions{}).MarshalAppend(s.buffer, m); err != nil {
		return err
	}
	return s.sendEnvelope()
}

func (s *streamWriter) beginEnvelope(flags byte) {
	s.buffer = append(s.buffer[:0], flags, 0, 0, 0, 0)
}

func (s *streamWriter) sendEnvelope() error {
	binary.BigEndian.PutUint32(s.buffer[1:], uint32(len(s.buffer)-envelopePrefixBytes))
	if _, err := s.out.Write(s.buffer); err != nil {
		return err
	}
	return s.controller.Flush()
}

// endStreamMessage is the JSON message of the last envelope, as the Connect protocol
// defines it.
type endStreamMessage struct {
	Error *endStreamError `json:"error,omitempty"`
}

type endStreamError struct {
	Code    string            `json:"code"`
	Message string            `json:"message,omitempty"`
	Details []endStreamDetail `json:"details,omitempty"`
}

type endStreamDetail struct {
	Type  string `json:"type"`
	Value string `json:"value"`
}

// writeEnd writes the last envelope, with err if the call failed.
func (s *streamWriter) writeEnd(err error) error {
	end := endStreamMessage{}
	if err != nil {
		end.Error = newEndStreamError(connectError(err))
	}
	text, err := json.Marshal(end)
	if err != nil {
		return err
	}
	s.beginEnvelope(endStreamFlag)
	s.buffer = append(s.buffer, text...)
	return s.sendEnvelope()
}

func newEndStreamError(e *connect.Error) *endStreamError {
	result := &endStreamError{Code: e.Code().String(), Message: e.Message()}
	for _, d := range e.Details() {
		result.Details = append(result.Details, endStreamDetail{
			Type: d.Type(), Value: base64.RawStdEncoding.EncodeToString(d.Bytes()),
		})
	}
	return result
}
