// Package session keeps one multiplexed connection to each process it has spoken to.
package session
