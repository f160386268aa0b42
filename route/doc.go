// Package route is the routing table of HTTP requests: it maps the host and path prefix
// of a request to a service, with the timeouts, targets and retry policy of the route.
package route
