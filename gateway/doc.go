// Package gateway serves the requests of callers: it finds the route, admits the
// turn, waits for an endpoint, and passes the answer on.
package gateway
