// Package endpoint is the load balancer of a front, a process that serves callers on the
// platform: a directory of the endpoints of all services with their load, health and speed,
// which picks the endpoint for each request. An endpoint that gets no requests for a while
// after failures is called ejected.
package endpoint
