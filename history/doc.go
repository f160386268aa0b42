// Package history keeps what must last of each program as records in the
// platform's log; the order of the log decides between writers.
package history
