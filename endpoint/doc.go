// Package endpoint knows the endpoints of all services, how busy they are, and
// which one should get the next request.
package endpoint
