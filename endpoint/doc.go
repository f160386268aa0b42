// Package endpoint is the load balancer of a front: a directory of the endpoints of all
// services with their load, health and speed, which picks the endpoint for each request.
package endpoint
