// Package permit keeps the requests of all fronts within a rate that an endpoint takes, or within
// the quota of a customer. One front issues the permits of each; a request needs one.
package permit
