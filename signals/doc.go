// Package signals handles the signals of a daemon from the initialization of its packages on.
//
// It must import nothing that is initialized after package os/signal. Go then initializes it
// before the other packages of the program. Until then SIGHUP is ignored.
package signals
