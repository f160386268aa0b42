// Package convert converts between the Go types of programs, such as calls, answers and
// handles, and the protobuf messages of two protocols: the one for callers and the one
// between processes.
package convert
