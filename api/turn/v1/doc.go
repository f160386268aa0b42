// Package turnv1 holds the generated records of turns.
package turnv1
