// Package hometest tests whether a client of a model engine implements
// home.Engine as a home needs it.
package hometest
