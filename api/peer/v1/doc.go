// Package peerv1 holds the generated protobuf messages of the protocol among entries and
// endpoints, the processes beside engines and services.
package peerv1
