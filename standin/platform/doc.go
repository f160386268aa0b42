// Package platform is an in-memory fake, for tests, of the platform that programs run on: an
// append-only log with offsets and an eventually consistent list of instances, both of
// which can simulate failures. Server offers them over HTTP.
package platform
