// Package session is a pool of multiplexed TCP connections (yamux sessions) to other
// processes, with one session for each address.
package session
