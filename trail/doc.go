// Package trail follows one identifier through the logs of many processes.
package trail
