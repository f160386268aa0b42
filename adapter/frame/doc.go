// Package frame writes and reads protobuf messages with their length before them.
package frame
