// Package gateway is the reverse proxy of a front, a process that serves callers on the
// platform: it matches a request to a route, waits in the queue for an endpoint of the
// route's service, forwards the request and passes the response on. It retries, hedges and
// resumes requests as far as the route permits, and records the turns of stateful routes
// and of programs with a token budget. A hedge is a second request sent because the
// response to the first one is late.
package gateway
