// Package dispatch decides which waiting request gets the next free place at the
// endpoints of a service, and refuses those that can't be served in time.
package dispatch
