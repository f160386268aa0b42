// Package origin remembers which software version of an endpoint began each stream, since a
// stream can only be resumed at the version that began it.
package origin
