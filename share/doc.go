// Package share divides the engine time of a service among customers while its engines are full: it
// records how much of it each customer asks for and uses, and tells which customers are above their
// max-min fair share.
package share
