// Package ordertest is a conformance test for adapters that make calls at a service.
package ordertest
