// Package certificate provides TLS configurations for servers and clients, from certificate
// files that are reloaded when they change.
package certificate
