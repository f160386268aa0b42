// Package raw is a fake HTTP server for tests that answers with fixed bytes, valid or not,
// before it reads the body of the request.
package raw
