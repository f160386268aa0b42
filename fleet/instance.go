package fleet

// Role is the function of a process in the system.
type Role uint8

// Roles of processes.
const (
	// EntryRole is the role of a process that serves callers.
	EntryRole Role = iota
	// EngineRole is the role of an endpoint process that runs beside a model engine.
	EngineRole
	// ServiceRole is the role of an endpoint process that runs beside a plain service.
	ServiceRole
	roleCount
)

var roleNames = [...]string{"entry", "engine", "service"}

// String returns the name of the role, "unknown" for an undefined value.
func (r Role) String() string {
	if r < roleCount {
		return roleNames[r]
	}
	return "unknown"
}

// ParseRole returns the role with a name, or an error of KindInvalid if there is none.
func ParseRole(name string) (Role, error) {
	for i, n := range roleNames {
		if n == name {
			return Role(i), nil
		}
	}
	return 0, Errorf("parse role", KindInvalid, "role %q is not one of entry, engine, service", name)
}

// Instance is a process of the system as listed by the platform.
type Instance struct {
	config InstanceConfig
}

// InstanceConfig holds the contents of an Instance.
type InstanceConfig struct {
	// Name is unique among the live instances.
	Name string
	// Address is the IP address and port that other processes of the system connect to.
	Address string
	// Domain names the failure domain that the process runs in.
	Domain string
	// Role is the function of the process.
	Role Role
	// Service names the model that the engine beside the process serves, or the plain
	// service beside it; empty if not stated.
	Service string
	// Leaving reports that the instance is about to stop.
	Leaving bool
}

// NewInstance returns an Instance with the given contents.
func NewInstance(c InstanceConfig) Instance { return Instance{config: c} }

// Name returns the name, which is unique among the live instances.
func (i Instance) Name() string { return i.config.Name }

// Address returns the IP address and port that other processes of the system connect to.
func (i Instance) Address() string { return i.config.Address }

// Domain returns the name of the failure domain that the process runs in.
func (i Instance) Domain() string { return i.config.Domain }

// Role returns the function of the process.
func (i Instance) Role() Role { return i.config.Role }

// Service returns the name of the model or plain service beside the process, empty if not
// stated.
func (i Instance) Service() string { return i.config.Service }

// Leaving reports whether the instance is about to stop.
func (i Instance) Leaving() bool { return i.config.Leaving }
