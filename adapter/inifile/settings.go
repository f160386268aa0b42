package inifile

import (
	"encoding/hex"
	"errors"
	"maps"
	"math"
	"os"
	"reflect"
	"slices"
	"strconv"

	"github.com/lavendervale/lavendervale/adapter/caller"
	"github.com/lavendervale/lavendervale/adapter/certificate"
	"github.com/lavendervale/lavendervale/adapter/seal"
	"github.com/lavendervale/lavendervale/daemon"
	"github.com/lavendervale/lavendervale/fleet"
)

// frontRole is the value of role in the settings of a front, a role that fleet.Role does not
// include.
const frontRole = "front"

// roles holds the values of role.
var roles = []string{fleet.EntryRole.String(), fleet.EngineRole.String(), fleet.ServiceRole.String(), frontRole}

// Settings holds the settings of one process.
type Settings struct {
	daemon daemon.Config
	// front is nil unless the role is front; daemon is not filled in then.
	front *daemon.FrontConfig
	// certificateFiles is what daemon.Certificates was loaded from.
	certificateFiles certificate.Config
	logLevel         string
	logFormat        string
}

// Daemon returns the configuration of an entry or endpoint process, without a logger. It is
// not valid for a front.
func (s *Settings) Daemon() daemon.Config { return s.daemon }

// Front returns the configuration of a front, a process that serves callers on the
// platform, without a logger. It is nil for other roles.
func (s *Settings) Front() *daemon.FrontConfig { return s.front }

// LogLevel returns the minimum level of logged lines: debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogFormat returns the format of logged lines: json or console.
func (s *Settings) LogFormat() string { return s.logFormat }

// Equal reports whether both settings have the same effect. The contents of the certificate
// files are left out.
func (s *Settings) Equal(other *Settings) bool {
	a, b := *s, *other
	for _, config := range []*daemon.Config{&a.daemon, &b.daemon} {
		config.Parse, config.Certificates = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// ReadSettingsFile reads and parses the settings file at a path. The error is an *Error if
// the file could be read but is invalid.
func ReadSettingsFile(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ReadSettings(path, text)
}

// ReadSettings parses the text of a settings file; fileName is for messages only. The
// error is an *Error.
func ReadSettings(fileName string, text []byte) (*Settings, error) {
	f := parseFile(fileName, text)
	if role := f.section("process").enum("role", "", roles...); role != "" {
		return readRole(f, role)
	}
	return nil, checkWithoutRole(f)
}

// checkWithoutRole returns the problems of settings whose role is missing or wrong. Which
// sections and keys are valid depends on the role, so it checks the file for the role with
// the fewest problems.
func checkWithoutRole(f *file) error {
	var fewest *Error
	for _, role := range roles {
		candidate := f.clone()
		roleProblem := &candidate.problems[len(candidate.problems)-1]
		roleProblem.message += "; the rest is checked as the settings of role " + role
		var found *Error
		if _, err := readRole(candidate, role); errors.As(err, &found) && (fewest == nil || len(found.problems) < len(fewest.problems)) {
			fewest = found
		}
	}
	return fewest
}

// readRole parses the settings of a process with the given role.
func readRole(f *file, role string) (*Settings, error) {
	if role == frontRole {
		return readFront(f)
	}
	settings := &Settings{daemon: daemon.Config{Parse: ParseConfiguration}}
	settings.daemon.Role, _ = fleet.ParseRole(role)
	readProcess(f, &settings.daemon)
	readPlatform(f, &settings.daemon)
	readLog(f, settings)
	readTLS(f, settings)
	settings.daemon.OperatorKeys = readKeys(f, "operators", true)
	knownSections := []string{"[process]", "[listen]", "[platform]", "[log]", "[operators]", "[tls]"}
	switch settings.daemon.Role {
	case fleet.EntryRole:
		readEntry(f, &settings.daemon)
		knownSections = append(knownSections, "[handles]", "[callers]")
	case fleet.EngineRole:
		readEngine(f, &settings.daemon)
		knownSections = append(knownSections, "[engine]")
	case fleet.ServiceRole:
		readService(f, &settings.daemon)
		knownSections = append(knownSections, "[service]")
	}
	if err := f.checkSections("read settings", knownSections...); err != nil {
		return nil, err
	}
	return settings, nil
}

func readProcess(f *file, config *daemon.Config) {
	processSection := f.section("process")
	config.Name = processSection.requiredText("name", "a name that is unique among the instances")
	config.Domain = processSection.requiredText("domain", "the failure domain of the process")
	processSection.keysRead["role"] = true
	config.StopTimeout = processSection.duration("stop-timeout", daemon.DefaultStopTimeout)
	processSection.checkKeys()
	listenSection := f.section("listen")
	config.AdminAddress = listenSection.address("admin", true)
	if config.Role == fleet.EntryRole {
		config.CallerAddress = listenSection.address("callers", true)
	} else {
		config.PeerAddress = listenSection.address("peers", true)
	}
	listenSection.checkKeys()
}

func readPlatform(f *file, config *daemon.Config) {
	s := f.section("platform")
	config.PlatformAddress = s.address("address", config.Role != fleet.ServiceRole)
	s.checkKeys()
}

func readLog(f *file, settings *Settings) {
	s := f.section("log")
	settings.logLevel = s.enum("level", "info", "debug", "info", "warn", "error")
	settings.logFormat = s.enum("format", "json", "json", "console")
	s.checkKeys()
}

// readTLS loads the certificate of the process. Without the section [tls] all listeners
// use plain TCP.
func readTLS(f *file, settings *Settings) {
	if !f.hasSection("tls") {
		return
	}
	s := f.section("tls")
	files := certificate.Config{
		CertificateFile: s.requiredText("certificate", "a PEM file"),
		KeyFile:         s.requiredText("key", "a PEM file"),
		AuthoritiesFile: s.requiredText("authorities", "a PEM file of the authorities that sign the certificates of other processes"),
	}
	s.checkKeys()
	if files.CertificateFile == "" || files.KeyFile == "" || files.AuthoritiesFile == "" {
		return
	}
	certificates, err := certificate.NewStore(files)
	if err != nil {
		s.addProblem("", "", "can't load certificate: "+err.Error())
		return
	}
	settings.certificateFiles, settings.daemon.Certificates = files, certificates
}

func readEntry(f *file, config *daemon.Config) {
	s := f.section("handles")
	config.HandleKey = readHandleKey(s, "key", true)
	config.PreviousHandleKey = readHandleKey(s, "previous-key", false)
	s.checkKeys()
	config.CallerKeys = readKeys(f, "callers", true)
}

// readHandleKey decodes a hexadecimal key that encrypts handles. Messages omit its value,
// as it is a secret.
func readHandleKey(s *section, key string, required bool) []byte {
	const expected = "64 hexadecimal digits"
	v, ok := s.value(key)
	if !ok {
		if required {
			s.addProblem(key, "", "missing, expected "+expected)
		}
		return nil
	}
	secret, err := hex.DecodeString(v)
	if err != nil || len(secret) != seal.KeyBytes {
		s.addProblem(key, "", expected)
	}
	return secret
}

// readKeys reads a section of lines NAME = KEY and returns the secret keys by the name of
// their owner. Messages omit the keys, and the names too, as a line may hold KEY = NAME.
func readKeys(f *file, sectionName string, required bool) map[string]string {
	s := f.section(sectionName)
	keys := s.unreadValues()
	if required && len(keys) == 0 {
		s.addProblem("", "", "missing, expected lines of the form NAME = KEY")
	}
	lineByKey := map[string]int{}
	for _, owner := range s.sortedByLine(slices.Collect(maps.Keys(keys))) {
		key, line := keys[owner], f.lines.of(sectionName, owner)
		if len(key) < caller.MinKeyBytes {
			s.addProblemAt(line, "the key must have at least "+strconv.Itoa(caller.MinKeyBytes)+" bytes")
		}
		if otherLine, ok := lineByKey[key]; ok {
			s.addProblemAt(line, "the key is the same as that of line "+strconv.Itoa(otherLine)+", keys must differ")
			continue
		}
		lineByKey[key] = line
	}
	return keys
}

func readEngine(f *file, config *daemon.Config) {
	s := f.section("engine")
	config.Engine.Address = s.address("address", true)
	config.Engine.Model = s.optionalText("model", "")
	config.Engine.Slots = int(s.integer("slots", 0, 1, math.MaxInt16))
	config.Engine.CacheTokens = s.integer("memory", 0, 1, math.MaxInt64)
	s.checkKeys()
}

func readService(f *file, config *daemon.Config) {
	s := f.section("service")
	config.Service.Name = s.requiredText("name", "the name of the service in the published configuration")
	config.Service.Address = s.address("address", true)
	config.Service.Timeout = s.duration("timeout", daemon.DefaultServiceTimeout)
	config.Service.Slots = int(s.integer("slots", daemon.DefaultServiceSlots, 1, math.MaxInt16))
	s.checkKeys()
}
