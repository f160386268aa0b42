package fleet

// Role tells what a process of the system does.
type Role uint8

// Roles of processes.
const (
	// EntryRole takes the calls of callers.
	EntryRole Role = iota
	// EngineRole stands beside a model engine.
	EngineRole
	// ServiceRole stands beside a plain service.
	ServiceRole
	roleCount
)

var roleNames = [...]string{"entry", "engine", "service"}

// String returns the name of the role.
func (r Role) String() string {
	if r < roleCount {
		return roleNames[r]
	}
	return "unknown"
}

// ParseRole returns the role with the given name, or an error of KindInvalid.
func ParseRole(name string) (Role, error) {
	for i, n := range roleNames {
		if n == name {
			return Role(i), nil
		}
	}
	return 0, Errorf("parse role", KindInvalid, "role %q is not one of entry, engine, service", name)
}

// Instance is one process of the system as the platform lists it.
type Instance struct {
	config InstanceConfig
}

// InstanceConfig describes an Instance.
type InstanceConfig struct {
	// Name is unique among the live instances.
	Name string
	// Address is the IP address and port for other processes of the system.
	Address string
	// Domain is the failure domain.
	Domain string
	// Role tells what the process does.
	Role Role
	// Service names the service or the model beside the process.
	Service string
	// Leaving is set when the instance is to stop soon.
	Leaving bool
}

// NewInstance returns an Instance.
func NewInstance(c InstanceConfig) Instance { return Instance{config: c} }

// Name returns the unique name.
func (i Instance) Name() string { return i.config.Name }

// Address returns the IP address and port for other processes.
func (i Instance) Address() string { return i.config.Address }

// Domain returns the failure domain.
func (i Instance) Domain() string { return i.config.Domain }

// Role returns what the process does.
func (i Instance) Role() Role { return i.config.Role }

// Service returns the service or the model beside the process.
func (i Instance) Service() string { return i.config.Service }

// Leaving reports whether the instance is to stop soon.
func (i Instance) Leaving() bool { return i.config.Leaving }
