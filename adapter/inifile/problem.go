package inifile

import (
	"fmt"
	"strings"
)

// Problem is one error in an INI file.
type Problem struct {
	file    string
	line    int
	section string
	key     string
	value   string
	message string
}

// File returns the name of the file.
func (p Problem) File() string { return p.file }

// Line returns the line with the problem, counted from 1: that of the key, or of the
// section if the file does not have the key, or 0 if it has neither.
func (p Problem) Line() int { return p.line }

// Section returns the section with the problem, empty if it concerns the whole file or a
// line outside any section.
func (p Problem) Section() string { return p.section }

// Key returns the key with the problem, empty if it concerns the whole section or a line
// that holds a secret.
func (p Problem) Key() string { return p.key }

// Value returns the invalid value, empty if there is none, if the key is unknown or if it
// holds a secret.
func (p Problem) Value() string { return p.value }

// Message returns what is wrong, or what is expected instead of the value.
func (p Problem) Message() string { return p.message }

// String returns the problem on one line, with its file, line, section, key and value.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.file)
	if p.line > 0 {
		fmt.Fprintf(&b, ":%d", p.line)
	}
	if p.section != "" || p.key != "" {
		b.WriteString(":")
	}
	if p.section != "" {
		fmt.Fprintf(&b, " [%s]", p.section)
	}
	if p.key != "" {
		fmt.Fprintf(&b, " %s", p.key)
	}
	if p.value != "" {
		fmt.Fprintf(&b, " = %q", p.value)
	}
	fmt.Fprintf(&b, ": %s", p.message)
	return b.String()
}

// Error holds all problems of a file.
type Error struct {
	op       string
	problems []Problem
}

// Error returns the operation and the problems, each on a line of its own.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return e.op + ":\n" + strings.Join(lines, "\n")
}

// Op returns the operation that failed.
func (e *Error) Op() string { return e.op }

// Problems returns the problems, sorted by section name and line.
func (e *Error) Problems() []Problem { return e.problems }
