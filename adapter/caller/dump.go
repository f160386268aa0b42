package caller

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
)

// DumpService shows operators the internal state of a process.
type DumpService struct {
	dump    func() any
	keyring *Keyring
}

// NewDumpService returns a service that encodes the result of dump as JSON for the
// operators whose keys are in keyring.
func NewDumpService(dump func() any, keyring *Keyring) *DumpService {
	return &DumpService{dump: dump, keyring: keyring}
}

// Dump returns the state of the process as indented JSON.
func (d *DumpService) Dump(_ context.Context, req *connect.Request[pb.DumpRequest]) (*connect.Response[pb.DumpResponse], error) {
	if _, err := d.keyring.Identify(req.Header()); err != nil {
		return nil, connectError(err)
	}
	text, err := json.MarshalIndent(d.dump(), "", "  ")
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&pb.DumpResponse{Json: string(text)}), nil
}
