// Package frame writes and reads length-prefixed protobuf messages: each frame is the size
// of the message in bytes, as 4 bytes in big-endian order, followed by the message.
package frame
