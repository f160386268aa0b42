package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"

	adapter "github.com/lavendervale/lavendervale/adapter/platform"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/standin/web"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 32 << 20
	// defaultReadLimit is the number of entries returned to a reader that sets no valid
	// limit.
	defaultReadLimit = 100
)

// Server serves a log and an instance list over HTTP.
type Server struct {
	log       *Log
	instances *InstanceList
}

// NewServer returns a server of the given log and instance list.
func NewServer(l *Log, i *InstanceList) *Server {
	return &Server{log: l, instances: i}
}

// Handler returns the handler of the platform's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", s.serveAppend)
	mux.HandleFunc("GET /streams/{stream}", s.serveRead)
	mux.HandleFunc("GET /instances", s.serveInstances)
	mux.HandleFunc("PUT /instances/{name}", s.serveRegister)
	mux.HandleFunc("DELETE /instances/{name}", s.serveRemove)
	return mux
}

// Serve serves requests on a listener until ctx ends, and then returns nil. It returns an
// error if the listener fails before that.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return web.Serve(ctx, l, s.Handler())
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := s.log.Append(r.Context(), r.PathValue("stream"), data)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, adapter.AppendReply{Offset: offset})
}

// serveRead sends the entries from an offset on. Expired entries are not an HTTP error:
// the reader detects them by a first offset in the response that is greater than the one it
// asked for.
func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	fromOffset, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from is not an integer", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 {
		limit = defaultReadLimit
	}
	page, err := s.log.Read(r.Context(), r.PathValue("stream"), fromOffset, limit)
	if err != nil && fleet.KindOf(err) != fleet.KindExpired {
		writeError(w, err)
		return
	}
	writeJSON(w, newReadReply(page))
}

func newReadReply(page fleet.LogPage) adapter.ReadReply {
	reply := adapter.ReadReply{First: page.FirstOffset(), Next: page.NextOffset(), Entries: []adapter.EntryMessage{}}
	for _, e := range page.Entries() {
		reply.Entries = append(reply.Entries, adapter.EntryMessage{Offset: e.Offset(), Data: e.Data(), Time: e.AppendedAt()})
	}
	return reply
}

func (s *Server) serveInstances(w http.ResponseWriter, r *http.Request) {
	list, err := s.instances.Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	reply := make([]adapter.InstanceMessage, 0, len(list))
	for _, instance := range list {
		reply = append(reply, adapter.InstanceMessage{
			Name: instance.Name(), Address: instance.Address(), Domain: instance.Domain(), Role: instance.Role().String(),
			Service: instance.Service(), Leaving: instance.Leaving(),
		})
	}
	writeJSON(w, reply)
}

func (s *Server) serveRegister(w http.ResponseWriter, r *http.Request) {
	var message adapter.InstanceMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&message); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	role, err := fleet.ParseRole(message.Role)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.instances.Add(fleet.NewInstance(fleet.InstanceConfig{
		Name: r.PathValue("name"), Address: message.Address, Domain: message.Domain, Role: role, Service: message.Service, Leaving: message.Leaving,
	}))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveRemove(w http.ResponseWriter, r *http.Request) {
	s.instances.Remove(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError sends status 503 for an error of fleet.KindUnavailable and 500 for others.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	if fleet.KindOf(err) == fleet.KindUnavailable {
		status = http.StatusServiceUnavailable
	}
	http.Error(w, err.Error(), status)
}
