// Package lavendervale holds the version of the lavendervale scheduler, which runs agent
// programs over model endpoints and services. The daemon is in cmd/lavendervaled, the
// command line client in cmd/lavendervale and the Go client for callers in package client.
package lavendervale

// Version is the version of the daemon and the command line client.
const Version = "0.1.0"
