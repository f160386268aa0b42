// Package turnv1 holds the generated protobuf messages of the records of turns, which
// fronts append to the log.
package turnv1
