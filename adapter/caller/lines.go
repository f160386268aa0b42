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
	// maxLineBody bounds the body of a call sent as plain JSON.
	maxLineBody = 8 << 20
)

// lineError is the closing line of a call that failed.
type lineError struct {
	Code       string  `json:"code"`
	Message    string  `json:"message"`
	Outcome    string  `json:"outcome"`
	Reason     string  `json:"reason"`
	RetryAfter float64 `json:"retryAfterSeconds,omitempty"`
}

// WithLines lets plain JSON requests, such as those of curl, run a call: the
// answer has one JSON message a line. All else goes to the next handler.
func (p *Programs) WithLines(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		plain := strings.HasPrefix(r.Header.Get("Content-Type"), "application/json")
		if r.Method != http.MethodPost || r.URL.Path != lavendervalev1connect.ProgramServiceCallProcedure || !plain {
			next.ServeHTTP(w, r)
			return
		}
		p.serveLines(w, r)
	})
}

func (p *Programs) serveLines(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	if err := p.callLines(w, r); err != nil {
		writeLineError(w, err)
	}
}

func (p *Programs) callLines(w http.ResponseWriter, r *http.Request) error {
	caller, err := p.keyring.Identify(r.Header)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxLineBody))
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
		return writeLine(w, &pb.CallResponse{Event: &pb.CallResponse_Text{Text: string(text)}})
	})
	if err != nil {
		return err
	}
	return writeLine(w, &pb.CallResponse{Event: &pb.CallResponse_Result{Result: resultMessage(result)}})
}

func writeLine(w http.ResponseWriter, m *pb.CallResponse) error {
	line, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func writeLineError(w http.ResponseWriter, err error) {
	e := program.AsError(err)
	code, ok := codes[e.Kind()]
	if !ok {
		code = connect.CodeInternal
	}
	_ = json.NewEncoder(w).Encode(map[string]lineError{"error": {
		Code: code.String(), Message: err.Error(), Outcome: e.Outcome().String(), Reason: e.Kind().String(),
		RetryAfter: e.RetryAfter().Seconds(),
	}})
}
