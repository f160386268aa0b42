// Package fleet holds what the platform gives: an append-only log with
// offsets and a list of instances.
package fleet
