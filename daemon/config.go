package daemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/certificate"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
)

// Config describes an entry or an endpoint process.
type Config struct {
	// Name is unique among the live instances.
	Name string
	// Domain is the failure domain of the process.
	Domain string
	// Role selects the kind of process.
	Role fleet.Role
	// PeerAddress is the IP address and port to listen on for other processes of the
	// system; unused by entries.
	PeerAddress string
	// AdminAddress is the address to listen on for operators.
	AdminAddress string
	// CallerAddress is the address that an entry listens on for callers.
	CallerAddress string
	// PlatformAddress is the address of the platform's log and instance list.
	PlatformAddress string
	// HandleKey encrypts handles; only entries have it.
	HandleKey []byte
	// PreviousHandleKey also decrypts handles, during a key rotation; nil for none.
	PreviousHandleKey []byte
	// CallerKeys holds the key of each caller by name, for entries.
	CallerKeys map[string]string
	// OperatorKeys holds the key of each operator by name.
	OperatorKeys map[string]string
	// Engine describes the model engine beside the process, for the engine role.
	Engine EngineConfig
	// Service describes the plain service beside the process, for the service role.
	Service ServiceConfig
	// StopTimeout bounds the wait for calls in progress while the process stops; 0 means
	// DefaultStopTimeout.
	StopTimeout time.Duration
	// Certificates makes all listeners use TLS and requires certificates of other
	// processes of the system; nil means plain TCP.
	Certificates *certificate.Store
	// Parse decodes the configurations that operators publish.
	Parse configuration.Parser
	// Logger receives what the process reports; nil discards it.
	Logger *zap.Logger
	// DroppedLines returns the number of lines that the log has lost; nil if that is not known.
	DroppedLines func() int64
}

// EngineConfig describes a model engine.
type EngineConfig struct {
	// Address is the IP address and port of the engine.
	Address string
	// Model is the model that the engine serves, empty for any.
	Model string
	// Slots is the number of calls that the engine gets at the same time.
	Slots int
	// CacheTokens is the size of the engine's prompt cache, in tokens; 0 is unknown.
	CacheTokens int64
}

// ServiceConfig describes a plain service.
type ServiceConfig struct {
	// Name is the name of the service in the configurations that operators publish.
	Name string
	// Address is the IP address and port of the service.
	Address string
	// Timeout bounds one call; 0 means DefaultServiceTimeout.
	Timeout time.Duration
	// Slots is the number of calls that the service gets at the same time; 0 means
	// DefaultServiceSlots.
	Slots int
}

const (
	// DefaultStopTimeout is the default of Config.StopTimeout.
	DefaultStopTimeout = 5 * time.Minute
	// DefaultServiceTimeout is the default of ServiceConfig.Timeout.
	DefaultServiceTimeout = 30 * time.Second
	// DefaultServiceSlots is the default of ServiceConfig.Slots.
	DefaultServiceSlots = 32
)
