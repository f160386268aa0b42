// Package route finds the service and the limits of a request by host and path.
package route
