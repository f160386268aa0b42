// Package speed holds the estimators by which an instance learns how fast endpoints are: a robust
// window of observations, and a line fitted to observations that fade with time.
package speed
