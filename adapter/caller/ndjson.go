package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/api/lavendervale/v1/lavendervalev1connect"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// maxCallBytes limits the request message of a call, as JSON or as protobuf.
	maxCallBytes = 8 << 20
)

// ndjsonError is the value of "error" in the last line of a failed call. RetryAfter is in
// seconds, 0 if no wait is advised.
type ndjsonError struct {
	Code       string  `json:"code"`
	Message    string  `json:"message"`
	Outcome    string  `json:"outcome"`
	Reason     string  `json:"reason"`
	RetryAfter float64 `json:"retryAfterSeconds,omitempty"`
}

// WithNDJSON returns a handler that runs calls sent as plain JSON, for clients without a
// Connect library such as curl. The response is newline-delimited JSON: each
// line is a CallResponse, but the last line of a failed call is an error. The HTTP status is
// 200 in both cases, as text may have been sent before a call fails. All other requests are passed to next.
func (p *ProgramService) WithNDJSON(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isJSON := strings.HasPrefix(r.Header.Get("Content-Type"), "application/json")
		if r.Method != http.MethodPost || r.URL.Path != lavendervalev1connect.ProgramServiceCallProcedure || !isJSON {
			next.ServeHTTP(w, r)
			return
		}
		p.serveNDJSON(w, r)
	})
}

func (p *ProgramService) serveNDJSON(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	if err := p.runNDJSONCall(w, r); err != nil {
		writeErrorLine(w, err)
	}
}

func (p *ProgramService) runNDJSONCall(w http.ResponseWriter, r *http.Request) error {
	caller, err := p.keyring.Identify(r.Header)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
	if err != nil {
		return program.Errorf("read call", program.KindInvalid, "%w", err)
	}
	req := &pb.CallRequest{}
	if err := protojson.Unmarshal(body, req); err != nil {
		return program.Errorf("read call", program.KindInvalid, "%w", err)
	}
	call, err := convert.CallFromProto(req.GetNumber(), req)
	if err != nil {
		return err
	}
	result, err := p.entry.Call(r.Context(), caller, req.GetHandle(), call, func(text []byte) error {
		return writeJSONLine(w, &pb.CallResponse{Event: &pb.CallResponse_Text{Text: string(text)}})
	})
	if err != nil {
		return err
	}
	return writeJSONLine(w, &pb.CallResponse{Event: &pb.CallResponse_Result{Result: resultMessage(result)}})
}

func writeJSONLine(w http.ResponseWriter, m *pb.CallResponse) error {
	line, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func writeErrorLine(w http.ResponseWriter, err error) {
	programErr := program.AsError(err)
	code, ok := codeByKind[programErr.Kind()]
	if !ok {
		code = connect.CodeInternal
	}
	_ = json.NewEncoder(w).Encode(map[string]ndjsonError{"error": {
		Code: code.String(), Message: err.Error(), Outcome: programErr.Outcome().String(), Reason: programErr.Kind().String(),
		RetryAfter: programErr.RetryAfter().Seconds(),
	}})
}
