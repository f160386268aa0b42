package daemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/certificate"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
)

// Config describes a process.
type Config struct {
	// Name is unique among the live instances.
	Name string
	// Domain is the failure domain.
	Domain string
	// Role tells what the process does.
	Role fleet.Role
	// Peers is where other processes of the system are listened to, as an IP
	// address and a port; entries have none.
	PeerAddress string
	// Admin is where operators are listened to.
	AdminAddress string
	// Callers is where an entry listens to callers.
	CallerAddress string
	// Platform is where the platform's log and instance list are.
	PlatformAddress string
	// HandleKey seals handles; only entries have it.
	HandleKey []byte
	// PreviousHandleKey opens handles while keys are exchanged, or nil.
	PreviousHandleKey []byte
	// CallerKeys holds the key of each caller, for entries.
	CallerKeys map[string]string
	// OperatorKeys holds the key of each operator.
	OperatorKeys map[string]string
	// Engine describes the model engine beside the process.
	Engine EngineConfig
	// Service describes the plain service beside the process.
	Service ServiceConfig
	// StopTimeout bounds the wait for calls in progress at a stop.
	StopTimeout time.Duration
	// Certificates makes all listeners speak TLS, and other processes prove who
	// they are; nil for none.
	Certificates *certificate.Store
	// Parse reads the configurations that operators publish.
	Parse configuration.Parser
	// Logger takes what the process reports.
	Logger *zap.Logger
}

// EngineConfig describes a model engine.
type EngineConfig struct {
	// Address is the IP address and port of the engine.
	Address string
	// Model is the model that the engine serves, empty for any.
	Model string
	// Slots is the number of calls the engine gets at once.
	Slots int
	// Memory is the size of the engine's prompt cache, in tokens; 0 is unknown.
	CacheTokens int64
}

// ServiceConfig describes a plain service.
type ServiceConfig struct {
	// Name is the name operators publish.
	Name string
	// Address is the IP address and port of the service.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
	// Slots is the number of calls the service gets at once.
	Slots int
}

const (
	// DefaultStopTimeout bounds the wait for calls in progress at a stop.
	DefaultStopTimeout = 5 * time.Minute
	// DefaultServiceTimeout bounds one call of a service.
	DefaultServiceTimeout = 30 * time.Second
	// DefaultServiceSlots is the number of calls a service gets at once.
	DefaultServiceSlots = 32
)
