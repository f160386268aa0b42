// Package tools is the module whose go.mod pins the versions of the linter and the code
// generators.
package tools
