// Package timer provides a sleep that a context can cancel.
package timer
