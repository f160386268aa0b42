// Package history is the event log of programs, which other packages call the journal: it
// appends every durable change of a program as a record to a stream of the platform's log,
// and rebuilds the state of a program by applying its records. Each record names the one before it, and when two
// processes write after the same record, the one that comes first in the log is valid
// and the other is superseded.
package history
