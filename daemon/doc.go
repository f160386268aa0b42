// Package daemon assembles and runs the processes of the system: entries, the endpoint
// processes beside model engines and plain services, and the fronts of a platform.
package daemon
