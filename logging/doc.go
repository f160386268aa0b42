// Package logging writes structured lines within a budget and never blocks the
// process that logs.
package logging
