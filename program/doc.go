// Package program implements the state machine of an agent program, which is a chain of
// model and service calls that share a message history and a token budget. It also
// defines the handle, by which a caller refers to a program, and the errors of the
// packages that run programs.
package program
