// Package trail extracts from the logs of many processes the lines that concern one
// request, turn or program.
package trail
