// Package wire is a TCP relay for tests that simulates network failures: it closes
// connections or discards their data.
package wire
