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
	// envelopeBytes is the length of the head of an envelope: flags and length.
	envelopeBytes = 5
	// endFlag marks the envelope that ends a stream.
	endFlag = 2
	// textField is the number of the field text of a CallResponse.
	textField = 1
	// firstStreamBuffer is what the buffer of a stream starts with, in bytes.
	firstStreamBuffer = 512
)

// WithStreams answers calls in connect's binary streaming protocol without an
// allocation a message; all other requests go to the next handler.
func (p *Programs) WithStreams(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		encoding := r.Header.Get(encodingHeader)
		plain := encoding == "" || encoding == "identity"
		call := r.Method == http.MethodPost && r.URL.Path == lavendervalev1connect.ProgramServiceCallProcedure
		if !call || !plain || r.Header.Get("Content-Type") != streamContentType {
			next.ServeHTTP(w, r)
			return
		}
		p.serveStream(w, r)
	})
}

func (p *Programs) serveStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", streamContentType)
	s := &streamWriter{out: w, control: http.NewResponseController(w), buffer: make([]byte, 0, firstStreamBuffer)}
	_ = s.end(p.callStream(r, s))
}

func (p *Programs) callStream(r *http.Request, s *streamWriter) error {
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
	result, err := p.entry.Call(ctx, caller, req.GetHandle(), call, s.text)
	if err != nil {
		return err
	}
	return s.message(&pb.CallResponse{Event: &pb.CallResponse_Result{Result: resultMessage(result)}})
}

// requestContext returns the context of a request with the caller's deadline.
func requestContext(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(timeoutHeader)
	if text == "" {
		return r.Context(), func() {}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}

// readEnvelope reads the only message of a request.
func readEnvelope(body io.Reader, m proto.Message) error {
	var head [envelopeBytes]byte
	if _, err := io.ReadFull(body, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if head[0] != 0 || size > maxLineBody {
		return program.Errorf("read envelope", program.KindInvalid, "envelope has flags %d and %d bytes", head[0], size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(body, data); err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}

// streamWriter writes the envelopes of one answer.
type streamWriter struct {
	out     io.Writer
	control *http.ResponseController
	buffer  []byte
}

// text writes a piece of text as a CallResponse.
func (s *streamWriter) text(text []byte) error {
	s.begin(0)
	s.buffer = protowire.AppendTag(s.buffer, textField, protowire.BytesType)
	s.buffer = protowire.AppendBytes(s.buffer, text)
	return s.send()
}

func (s *streamWriter) message(m proto.Message) error {
	s.begin(0)
	var err error
	if s.buffer, err = (proto.MarshalOptions{}).MarshalAppend(s.buffer, m); err != nil {
		return err
	}
	return s.send()
}

func (s *streamWriter) begin(flags byte) {
	s.buffer = append(s.buffer[:0], flags, 0, 0, 0, 0)
}

func (s *streamWriter) send() error {
	binary.BigEndian.PutUint32(s.buffer[1:], uint32(len(s.buffer)-envelopeBytes))
	if _, err := s.out.Write(s.buffer); err != nil {
		return err
	}
	return s.control.Flush()
}

// endMessage closes a stream, as connect's protocol defines it.
type endMessage struct {
	Error *endError `json:"error,omitempty"`
}

type endError struct {
	Code    string      `json:"code"`
	Message string      `json:"message,omitempty"`
	Details []endDetail `json:"details,omitempty"`
}

type endDetail struct {
	Type  string `json:"type"`
	Value string `json:"value"`
}

// end writes the closing envelope, with the error of the call when there is one.
func (s *streamWriter) end(err error) error {
	closing := endMessage{}
	if err != nil {
		closing.Error = endErrorOf(connectError(err))
	}
	text, err := json.Marshal(closing)
	if err != nil {
		return err
	}
	s.begin(endFlag)
	s.buffer = append(s.buffer, text...)
	return s.send()
}

func endErrorOf(e *connect.Error) *endError {
	out := &endError{Code: e.Code().String(), Message: e.Message()}
	for _, d := range e.Details() {
		out.Details = append(out.Details, endDetail{
			Type: d.Type(), Value: base64.RawStdEncoding.EncodeToString(d.Bytes()),
		})
	}
	return out
}
