// Package service is a fake HTTP service with side effects for tests and benchmarks. It
// counts the executions of each idempotency key, so that a test can detect lost and
// repeated calls, and simulates failures.
package service
