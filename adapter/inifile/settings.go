package inifile

import (
	"encoding/hex"
	"math"
	"os"

	"github.com/lavendervale/lavendervale/adapter/caller"
	"github.com/lavendervale/lavendervale/adapter/certificate"
	"github.com/lavendervale/lavendervale/adapter/seal"
	"github.com/lavendervale/lavendervale/daemon"
	"github.com/lavendervale/lavendervale/fleet"
)

// Settings is what a settings file holds.
type Settings struct {
	daemon    daemon.Config
	front     *daemon.FrontConfig
	logLevel  string
	logFormat string
}

// Daemon returns the description of the process, without a logger.
func (s *Settings) Daemon() daemon.Config { return s.daemon }

// Front returns the description of a front without a logger, nil for other roles.
func (s *Settings) Front() *daemon.FrontConfig { return s.front }

// LogLevel returns the least level to log.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogFormat returns json or console.
func (s *Settings) LogFormat() string { return s.logFormat }

// ReadSettingsFile reads the settings file at a path.
func ReadSettingsFile(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ReadSettings(path, text)
}

// ReadSettings reads the settings of a process from a file of a name.
func ReadSettings(name string, text []byte) (*Settings, error) {
	f := load(name, text)
	s := &Settings{daemon: daemon.Config{Parse: ParseConfiguration}}
	if isFront(f) {
		return readFront(f, s)
	}
	readProcess(f, &s.daemon)
	readPlatform(f, &s.daemon)
	readLog(f, s)
	readTLS(f, &s.daemon)
	s.daemon.OperatorKeys = readKeys(f, "operators", true)
	known := []string{"[process]", "[listen]", "[platform]", "[log]", "[operators]", "[tls]"}
	switch s.daemon.Role {
	case fleet.EntryRole:
		readEntry(f, &s.daemon)
		known = append(known, "[handles]", "[callers]")
	case fleet.EngineRole:
		readEngine(f, &s.daemon)
		known = append(known, "[engine]")
	case fleet.ServiceRole:
		readService(f, &s.daemon)
		known = append(known, "[service]")
	}
	if err := f.finish("read settings", known...); err != nil {
		return nil, err
	}
	return s, nil
}

func readProcess(f *file, c *daemon.Config) {
	s := f.section("process")
	c.Name = s.required("name", "a name unique among the instances")
	c.Domain = s.required("domain", "the failure domain")
	role := s.oneOf("role", "", fleet.EntryRole.String(), fleet.EngineRole.String(), fleet.ServiceRole.String(), frontRole)
	c.Role, _ = fleet.ParseRole(role)
	c.StopTimeout = s.duration("stop-timeout", daemon.DefaultStopTimeout)
	s.done()
	l := f.section("listen")
	c.AdminAddress = l.address("admin", true)
	if c.Role == fleet.EntryRole {
		c.CallerAddress = l.address("callers", true)
	} else {
		c.PeerAddress = l.address("peers", true)
	}
	l.done()
}

func readPlatform(f *file, c *daemon.Config) {
	s := f.section("platform")
	c.PlatformAddress = s.address("address", c.Role != fleet.ServiceRole)
	s.done()
}

func readLog(f *file, c *Settings) {
	s := f.section("log")
	c.logLevel = s.oneOf("level", "info", "debug", "info", "warn", "error")
	c.logFormat = s.oneOf("format", "json", "json", "console")
	s.done()
}

// readTLS reads the certificate of the process; without the section all is plain.
func readTLS(f *file, c *daemon.Config) {
	if !f.has("tls") {
		return
	}
	s := f.section("tls")
	config := certificate.Config{
		CertificateFile: s.required("certificate", "a file in PEM"),
		KeyFile:         s.required("key", "a file in PEM"),
		AuthoritiesFile: s.required("authorities", "a file in PEM of those who sign other processes"),
	}
	s.done()
	if config.CertificateFile == "" || config.KeyFile == "" || config.AuthoritiesFile == "" {
		return
	}
	store, err := certificate.NewStore(config)
	if err != nil {
		s.note("", "", "files that can be read: "+err.Error())
		return
	}
	c.Certificates = store
}

func readEntry(f *file, c *daemon.Config) {
	s := f.section("handles")
	c.HandleKey = readHandleKey(s, "key", true)
	c.PreviousHandleKey = readHandleKey(s, "previous-key", false)
	s.done()
	c.CallerKeys = readKeys(f, "callers", true)
}

// readHandleKey reads a key in hexadecimal; its value is never repeated in a message.
func readHandleKey(s *section, key string, required bool) []byte {
	const allowed = "64 hexadecimal digits"
	v, ok := s.value(key)
	if !ok {
		if required {
			s.note(key, "", "missing, "+allowed)
		}
		return nil
	}
	secret, err := hex.DecodeString(v)
	if err != nil || len(secret) != seal.KeyBytes {
		s.note(key, "", allowed)
	}
	return secret
}

// readKeys reads a section of names and their keys.
func readKeys(f *file, name string, required bool) map[string]string {
	s := f.section(name)
	keys := s.rest()
	for who, key := range keys {
		if len(key) < caller.MinKeyBytes {
			s.note(who, "", "a key of at least 16 characters")
		}
	}
	if required && len(keys) == 0 {
		s.note("", "", "missing, lines of the form NAME = KEY")
	}
	if _, err := caller.NewKeyring(keys); err != nil && len(f.problems) == 0 {
		s.note("", "", err.Error())
	}
	return keys
}

func readEngine(f *file, c *daemon.Config) {
	s := f.section("engine")
	c.Engine.Address = s.address("address", true)
	c.Engine.Model = s.text("model", "")
	c.Engine.Slots = int(s.integer("slots", 0, 1, math.MaxInt16))
	c.Engine.CacheTokens = s.integer("memory", 0, 1, math.MaxInt64)
	s.done()
}

func readService(f *file, c *daemon.Config) {
	s := f.section("service")
	c.Service.Name = s.required("name", "the name that operators publish")
	c.Service.Address = s.address("address", true)
	c.Service.Timeout = s.duration("timeout", daemon.DefaultServiceTimeout)
	c.Service.Slots = int(s.integer("slots", daemon.DefaultServiceSlots, 1, math.MaxInt16))
	s.done()
}
