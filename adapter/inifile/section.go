package inifile

import (
	"cmp"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// section parses the keys of one section and adds the problems in it to its file.
type section struct {
	file *file
	name string
	// ini is nil if the file has no such section.
	ini *ini.Section
	// keysRead holds the keys that the code asked for; any other key is reported as
	// unknown.
	keysRead map[string]bool
}

// value returns the value of a key and whether the section has the key.
func (s *section) value(key string) (string, bool) {
	s.keysRead[key] = true
	if s.ini == nil || !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).Value()), true
}

func (s *section) addProblem(key, value, message string) {
	s.file.addProblem(s.name, key, value, message)
}

// addProblemAt adds a problem of a line whose key must not be named.
func (s *section) addProblemAt(line int, message string) {
	s.file.problems = append(s.file.problems, Problem{file: s.file.name, line: line, section: s.name, message: message})
}

// sortedByLine sorts keys of the section by their lines.
func (s *section) sortedByLine(keys []string) []string {
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Compare(s.file.lines.of(s.name, a), s.file.lines.of(s.name, b))
	})
	return keys
}

// requiredText returns the value of a key that must be present and not empty; expected
// describes the value in the message if it is missing.
func (s *section) requiredText(key, expected string) string {
	v, ok := s.value(key)
	if !ok || v == "" {
		s.addProblem(key, "", "missing, expected "+expected)
	}
	return v
}

// optionalText returns the value of a key, or defaultText if it is missing.
func (s *section) optionalText(key, defaultText string) string {
	if v, ok := s.value(key); ok {
		return v
	}
	return defaultText
}

// list returns the elements of a comma-separated value, without empty ones.
func (s *section) list(key string) []string {
	v, _ := s.value(key)
	var parts []string
	for _, p := range strings.Split(v, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}

// enum returns the value of a key if it is one of allowed. It returns defaultText if the
// key is missing or its value invalid; the key is required if defaultText is empty.
func (s *section) enum(key, defaultText string, allowed ...string) string {
	v, ok := s.value(key)
	if !ok {
		if defaultText == "" {
			s.addProblem(key, "", "missing, expected one of "+strings.Join(allowed, ", "))
		}
		return defaultText
	}
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	s.addProblem(key, v, "one of "+strings.Join(allowed, ", "))
	return defaultText
}

// address returns an IP address with a port, or an empty string if the key is missing.
func (s *section) address(key string, required bool) string {
	const expected = "an IP address and a port, such as 127.0.0.1:7400"
	v, ok := s.value(key)
	if !ok || v == "" {
		if required {
			s.addProblem(key, "", "missing, expected "+expected)
		}
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		s.addProblem(key, v, expected+"; host names are not resolved")
	}
	return v
}

// integer returns an integer from low to high, or defaultValue if the key is missing or its
// value invalid.
func (s *section) integer(key string, defaultValue, low, high int64) int64 {
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		s.addProblem(key, v, "an integer from "+strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
		return defaultValue
	}
	return n
}

// positiveNumber returns a number above 0 and at most 1e12, or defaultValue if the key is
// missing or its value invalid.
func (s *section) positiveNumber(key string, defaultValue float64) float64 {
	return s.numberUpTo(key, defaultValue, 1e12)
}

// numberUpTo returns a number above 0 and at most high, or defaultValue if the key is missing or its
// value invalid.
func (s *section) numberUpTo(key string, defaultValue, high float64) float64 {
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n > 0) || n > high {
		s.addProblem(key, v, "a number above 0 and at most "+strconv.FormatFloat(high, 'g', -1, 64))
		return defaultValue
	}
	return n
}

// duration returns a duration above 0, or defaultValue if the key is missing or its value
// invalid.
func (s *section) duration(key string, defaultValue time.Duration) time.Duration {
	v, ok := s.value(key)
	if !ok {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		s.addProblem(key, v, "a duration above 0 with a unit, such as 1.5s or 20m")
		return defaultValue
	}
	return d
}

// unreadValues returns the values of all keys that were not asked for before, and counts
// them as read.
func (s *section) unreadValues() map[string]string {
	values := map[string]string{}
	if s.ini == nil {
		return values
	}
	for _, k := range s.ini.Keys() {
		if !s.keysRead[k.Name()] {
			s.keysRead[k.Name()] = true
			values[k.Name()] = strings.TrimSpace(k.Value())
		}
	}
	return values
}

// checkKeys adds a problem for each key that no code asked for. Messages omit the values,
// as the key may be the mistyped one of a secret.
func (s *section) checkKeys() {
	if s.ini == nil {
		return
	}
	knownKeys := make([]string, 0, len(s.keysRead))
	for k := range s.keysRead {
		knownKeys = append(knownKeys, k)
	}
	sort.Strings(knownKeys)
	for _, k := range s.ini.Keys() {
		if !s.keysRead[k.Name()] {
			s.addProblem(k.Name(), "", "unknown key, known keys are "+strings.Join(knownKeys, ", "))
		}
	}
}
