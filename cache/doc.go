// Package cache tracks how many tokens an engine's prompt cache is expected to hold for
// each program, and which programs have been idle for longer than their lease.
package cache
