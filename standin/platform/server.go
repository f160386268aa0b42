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
	maxAppendBytes = 32 << 20
	defaultLimit   = 100
)

// Server offers a log and an instance list over HTTP.
type Server struct {
	log       *Log
	instances *Instances
}

// NewServer returns a server for a log and a list.
func NewServer(l *Log, i *Instances) *Server { return &Server{log: l, instances: i} }

// Handler returns the HTTP interface of the platform.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", s.serveAppend)
	mux.HandleFunc("GET /streams/{stream}", s.serveRead)
	mux.HandleFunc("GET /instances", s.serveInstances)
	mux.HandleFunc("PUT /instances/{name}", s.serveRegister)
	mux.HandleFunc("DELETE /instances/{name}", s.serveRemove)
	return mux
}

// Serve answers on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return web.Serve(ctx, l, s.Handler())
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
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

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil || limit <= 0 {
		limit = defaultLimit
	}
	page, err := s.log.Read(r.Context(), r.PathValue("stream"), from, limit)
	if err != nil && fleet.KindOf(err) != fleet.KindExpired {
		writeError(w, err)
		return
	}
	writeJSON(w, readReply(page))
}

func readReply(page fleet.LogPage) adapter.ReadReply {
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
	for _, i := range list {
		reply = append(reply, adapter.InstanceMessage{
			Name: i.Name(), Address: i.Address(), Domain: i.Domain(), Role: i.Role().String(),
			Service: i.Service(), Leaving: i.Leaving(),
		})
	}
	writeJSON(w, reply)
}

func (s *Server) serveRegister(w http.ResponseWriter, r *http.Request) {
	var m adapter.InstanceMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendBytes)).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	role, err := fleet.ParseRole(m.Role)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.instances.Add(fleet.NewInstance(fleet.InstanceConfig{
		Name: r.PathValue("name"), Address: m.Address, Domain: m.Domain, Role: role, Service: m.Service, Leaving: m.Leaving,
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

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	if fleet.KindOf(err) == fleet.KindUnavailable {
		status = http.StatusServiceUnavailable
	}
	http.Error(w, err.Error(), status)
}
