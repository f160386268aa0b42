// Package ordertest contains the contract tests that every client of a plain service must pass.
package ordertest
