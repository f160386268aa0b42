// Package client is the Go client for callers of lavendervale. It starts and resumes
// programs, numbers their calls, returns the latest handle with each request and retries
// requests that are safe to repeat.
package client
