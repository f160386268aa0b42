// Package logging provides a zap core that limits the rate of log lines, and a writer
// that never blocks the process that logs.
package logging
