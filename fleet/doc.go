// Package fleet holds the types of the two platform services that the system depends on: the
// append-only log and the list of instances.
package fleet
