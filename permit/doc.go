// Package permit keeps the requests of all fronts to an endpoint within the rate that the
// endpoint takes. One front issues the permits of an endpoint; each request needs one.
package permit
