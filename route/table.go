package route

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// TableConfig describes a Table.
type TableConfig struct {
	// Version grows with each table that operators publish.
	Version int64
	// Routes are all routes.
	Routes []*Route
	// Services are all services that routes name.
	Services []Service
	// Limits bound what callers send.
	Limits Limits
}

// Service describes the endpoints of one service.
type Service struct {
	// Name is what routes call it.
	Name string
	// HealthPath is the path of the endpoints' health check.
	HealthPath string
	// MaxConnections bounds the connections that one endpoint takes from all instances.
	MaxConnections int
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Memory is the size of the prompt cache in tokens.
	CacheTokens int64
	// EventTokens is the number of tokens that one event stands for.
	TokensPerEvent int64
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	MaxHeaderBytes int
	// BodyBytes bounds the body.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time that a head may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Table is one version of all routes.
type Table struct {
	version        int64
	routesByHost   map[string][]*Route
	servicesByName map[string]Service
	limits         Limits
}

// NewTable returns a table, or an error of KindInvalid.
func NewTable(c TableConfig) (*Table, error) {
	const op = "check routes"
	t := &Table{version: c.Version, routesByHost: map[string][]*Route{}, servicesByName: map[string]Service{}, limits: c.Limits}
	for _, s := range c.Services {
		t.servicesByName[s.Name] = s
	}
	for _, r := range c.Routes {
		prefix := r.config.PathPrefix
		if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
			return nil, Errorf(op, KindInvalid, "prefix %q of route %q does not start and end with a slash", prefix, r.Name())
		}
		if len(r.config.Splits) == 0 {
			return nil, Errorf(op, KindInvalid, "route %q names no service", r.Name())
		}
		t.routesByHost[r.config.Host] = append(t.routesByHost[r.config.Host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].config.PathPrefix) > len(routes[j].config.PathPrefix) })
	}
	return t, nil
}

// Version returns the version.
func (t *Table) Version() int64 { return t.version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.servicesByName[name]
	return s, ok
}

// Services returns the number of services.
func (t *Table) ServiceCount() int { return len(t.servicesByName) }

// Match returns the route with the longest prefix of a path, nil for none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.config.PathPrefix) {
			return r
		}
	}
	return nil
}

// Store holds the table in force; versions never go back.
type Store struct {
	mu    sync.RWMutex
	table *Table
}

// Table returns the table in force, nil before the first.
func (s *Store) Table() *Table {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.table
}

// Adopt puts a table in force unless it is older than the present one; it
// reports whether the version changed.
func (s *Store) Update(t *Table) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && t.version < s.table.version {
		return false, Errorf("adopt routes", KindOlder, "version %d is older than %d", t.version, s.table.version)
	}
	changed := s.table == nil || t.version > s.table.version
	if changed {
		s.table = t
	}
	return changed, nil
}
