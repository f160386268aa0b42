package route

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// TableConfig configures a Table.
type TableConfig struct {
	// Version increases with each table that operators publish.
	Version int64
	// Routes lists all routes.
	Routes []*Route
	// Services lists the services that the routes refer to.
	Services []Service
	// Limits restricts the requests of callers.
	Limits Limits
	// Customers lists those whose callers are served; if there are none, callers need no
	// key.
	Customers []Customer
}

// Customer is a party whose callers identify themselves by keys.
type Customer struct {
	// Name identifies the customer.
	Name string
	// Keys are the secrets that its callers send.
	Keys []string
	// Rank replaces the rank of the route; nil leaves it.
	Rank *int
	// RatePerSecond is how many requests per second the customer may send through all
	// instances together; 0 or less is no limit.
	RatePerSecond float64
	// Burst is how many requests more it may send at once.
	Burst float64
}

// Service describes one service.
type Service struct {
	// Name is the name that the splits of routes refer to.
	Name string
	// HealthPath is the path of the health check of an endpoint.
	HealthPath string
	// MaxConnections limits the connections of all instances together to one endpoint.
	MaxConnections int
	// Engine describes the model engines of the service, nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// CacheTokens is the capacity of an engine's memory for prompts and generated text,
	// in tokens.
	CacheTokens int64
	// TokensPerEvent is the number of tokens that one event of a stream carries.
	TokensPerEvent int64
}

// Limits restricts the requests of callers.
type Limits struct {
	// MaxHeaderBytes limits the size of the request line and headers, 0 for the default
	// of the server.
	MaxHeaderBytes int
	// MaxBodyBytes limits the size of the body, 0 for the default of the server.
	MaxBodyBytes int64
	// HeaderTimeout limits the time to read the request line and headers, 0 for no limit.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request, 0 for no
	// limit.
	IdleTimeout time.Duration
}

// Table is one version of the routes and services. It is immutable.
type Table struct {
	version int64
	// routesByHost holds the routes of each host, those with longer prefixes first.
	routesByHost   map[string][]*Route
	servicesByName map[string]Service
	limits         Limits
	customersByKey map[string]Customer
	// requiresKey is set if callers need a key.
	requiresKey bool
}

// NewTable returns a table with the given configuration. It returns an error of
// KindInvalid when the path prefix of a route does not start and end with a slash, or
// when a route has no service.
func NewTable(c TableConfig) (*Table, error) {
	const op = "check routes"
	t := &Table{version: c.Version, routesByHost: map[string][]*Route{}, servicesByName: map[string]Service{}, limits: c.Limits, customersByKey: map[string]Customer{}}
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			t.customersByKey[key] = customer
		}
	}
	t.requiresKey = len(c.Customers) > 0
	for _, s := range c.Services {
		t.servicesByName[s.Name] = s
	}
	for _, r := range c.Routes {
		prefix := r.config.PathPrefix
		if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
			return nil, Errorf(op, KindInvalid, "path prefix %q of route %q must start and end with a slash", prefix, r.Name())
		}
		if len(r.config.Splits) == 0 {
			return nil, Errorf(op, KindInvalid, "route %q has no service", r.Name())
		}
		t.routesByHost[r.config.Host] = append(t.routesByHost[r.config.Host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].config.PathPrefix) > len(routes[j].config.PathPrefix) })
	}
	return t, nil
}

// Version returns the version of the table.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on the requests of callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with a name and whether it exists.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.servicesByName[name]
	return s, ok
}

// ServiceCount returns the number of services.
func (t *Table) ServiceCount() int { return len(t.servicesByName) }

// Customer returns the customer whose caller sends a request of a route with a key, and whether
// the request is allowed. It is the zero value where no key is needed.
func (t *Table) Customer(r *Route, key string) (Customer, bool) {
	if !t.requiresKey || r.config.Anonymous {
		return Customer{}, true
	}
	c, ok := t.customersByKey[key]
	return c, ok
}

// Match returns the route of the host whose prefix is the longest that matches path, or
// nil when none matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.config.PathPrefix) {
			return r
		}
	}
	return nil
}

// Store holds the table in force. Its version never decreases. The zero value holds no
// table. It is safe for concurrent use.
type Store struct {
	mu    sync.RWMutex
	table *Table
}

// Table returns the table in force, nil before the first update.
func (s *Store) Table() *Table {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.table
}

// Update puts a table in force and reports whether the version changed. A table of the
// same version as the one in force is ignored; a lower version is an error of
// KindOlder.
func (s *Store) Update(t *Table) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && t.version < s.table.version {
		return false, Errorf("update routes", KindOlder, "version %d is older than version %d in force", t.version, s.table.version)
	}
	changed := s.table == nil || t.version > s.table.version
	if changed {
		s.table = t
	}
	return changed, nil
}
