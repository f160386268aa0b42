// Package transport makes HTTP clients notice responses that broke off although net/http takes
// them for whole.
package transport
