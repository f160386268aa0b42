// Package transcript remembers what callers have received of streams whose turns are kept, so that a
// stream which its caller takes up at another instance is recorded whole.
package transcript
