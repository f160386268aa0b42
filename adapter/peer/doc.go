// Package peer implements the RPC protocol between entries, homes and the processes beside
// plain services, with both the clients and the server. Requests are protobuf messages
// in length-prefixed frames, with one yamux stream for each request and its replies.
package peer
