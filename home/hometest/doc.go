// Package hometest is a conformance test suite for implementations of
// home.Engine.
package hometest
