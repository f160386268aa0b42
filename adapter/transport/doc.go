// Package transport makes HTTP clients refuse responses that net/http accepts although they broke
// off or are not valid HTTP.
package transport
