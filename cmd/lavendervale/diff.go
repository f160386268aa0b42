package main

import "strings"

// diffLines returns the removed lines of before, prefixed with "- ", and the added lines
// of after, prefixed with "+ ", based on a longest common subsequence. Unchanged lines are
// left out.
func diffLines(before, after string) []string {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	lcsLengths := suffixLCSLengths(a, b)
	var diff []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || (i < len(a) && lcsLengths[i+1][j] >= lcsLengths[i][j+1]):
			diff = append(diff, "- "+a[i])
			i++
		default:
			diff = append(diff, "+ "+b[j])
			j++
		}
	}
	return diff
}

// suffixLCSLengths returns a table whose element [i][j] is the length of the longest
// common subsequence of a[i:] and b[j:].
func suffixLCSLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}
