// Package record encodes and decodes what the system stores in the platform's log: the
// records of programs as batches of protobuf messages compressed with zstd, and published
// configurations and crash events as single protobuf messages.
package record
