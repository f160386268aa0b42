// Package cache tracks which prompt tokens an engine's cache is expected to hold for
// each program, and which of them have been idle for longer than their lease.
package cache
