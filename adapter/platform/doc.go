// Package platform is the HTTP client of two services of the platform that programs run on:
// an append-only log, divided into streams, and the list of instances.
package platform
