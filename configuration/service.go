package configuration

// Service describes a plain service, which is not a model engine.
type Service struct {
	config ServiceConfig
}

// ServiceConfig holds the contents of a Service.
type ServiceConfig struct {
	// Name is the name that callers use.
	Name string
	// Orders names the methods that must run at most once.
	Orders []string
	// Idempotent names the methods that may be repeated.
	Idempotent []string
}

// NewService returns a service. It returns an error of KindInvalid when a method is in both
// Orders and Idempotent.
func NewService(c ServiceConfig) (*Service, error) {
	s := &Service{config: c}
	for _, m := range c.Orders {
		if s.IsIdempotent(m) {
			return nil, Errorf("check service", KindInvalid, "service %q lists %q as an order and as idempotent", c.Name, m)
		}
	}
	return s, nil
}

// Name returns the name that callers use.
func (s *Service) Name() string { return s.config.Name }

// Orders returns the names of the methods that must run at most once.
func (s *Service) Orders() []string { return s.config.Orders }

// Idempotent returns the names of the methods that may be repeated.
func (s *Service) Idempotent() []string { return s.config.Idempotent }

// IsOrder reports whether a method must run at most once.
func (s *Service) IsOrder(method string) bool { return contains(s.config.Orders, method) }

// IsIdempotent reports whether a method may be repeated.
func (s *Service) IsIdempotent(method string) bool { return contains(s.config.Idempotent, method) }

func contains(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}
