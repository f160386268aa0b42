// Package convert converts between the values of programs and the protobuf messages of the
// callers' interface and of the protocol between processes.
package convert
