// Package entry is the stateless request router of the system. An Entry places each
// new program on an endpoint, forwards later calls to the home of their program and
// retries them elsewhere when that home is lost. It also publishes configurations and
// distributes them, with the list of instances, by heartbeats.
package entry
