package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/standin/web"
)

const (
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 1 << 20
)

// Service is a fake of a service such as payment or booking, whose calls must not be
// repeated. It is safe for concurrent use.
type Service struct {
	config Config
	// mu guards the fields below.
	mu sync.Mutex
	// effectsByKey holds the number of effects of each idempotency key.
	effectsByKey map[string]int
	// lastSerial is the number of effects, which is also part of the ID of the last receipt.
	lastSerial int
	faults     Faults
}

// Config holds the settings of a Service.
type Config struct {
	// Name is the name of the service in its receipts.
	Name string
	// CallDuration is the time that each call takes before its effect; 0 for none.
	CallDuration time.Duration
}

// Faults are failures that the service simulates; the zero value means none.
type Faults struct {
	// RefuseStatus is the HTTP status with which every call is refused before its effect;
	// 0 for none.
	RefuseStatus int
	// LoseResponses closes the connection of each call after its effect, without a
	// response.
	LoseResponses bool
	// HangAfterEffect leaves each call without a response after its effect until the
	// client closes the connection.
	HangAfterEffect bool
}

// Receipt is the JSON body of the response to a call.
type Receipt struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Method is the called method of the service.
	Method string `json:"method"`
	// ID is unique to each effect of the service.
	ID string `json:"receipt"`
}

// New returns a service without faults.
func New(c Config) *Service {
	return &Service{config: c, effectsByKey: map[string]int{}}
}

// SetFaults replaces the failures that the service simulates for later calls.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Effects returns the number of effects by idempotency key. Calls without a key are
// counted under the empty key.
func (s *Service) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects := make(map[string]int, len(s.effectsByKey))
	for key, count := range s.effectsByKey {
		effects[key] = count
	}
	return effects
}

// Handler returns the handler of the service's HTTP interface. A repeated idempotency key
// has an effect again, as with a real service that does not deduplicate calls.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{method}", s.serveCall)
	return mux
}

// Serve serves requests on a listener until ctx ends, and then returns nil. It returns an
// error if the listener fails before that.
func (s *Service) Serve(ctx context.Context, l net.Listener) error {
	return web.Serve(ctx, l, s.Handler())
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := s.currentFaults()
	if faults.RefuseStatus != 0 {
		http.Error(w, "injected fault: call refused", faults.RefuseStatus)
		return
	}
	time.Sleep(s.config.CallDuration)
	serial := s.recordEffect(r.Header.Get("Idempotency-Key"))
	if faults.HangAfterEffect {
		<-r.Context().Done()
		return
	}
	if faults.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Receipt{
		Service: s.config.Name, Method: r.PathValue("method"), ID: fmt.Sprintf("%s-%06d", s.config.Name, serial),
	})
}

// recordEffect counts an effect of an idempotency key and returns its serial number,
// starting at 1.
func (s *Service) recordEffect(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effectsByKey[key]++
	s.lastSerial++
	return s.lastSerial
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
