// Package meshv1 holds the generated protocol between fronts.
package meshv1
