// Package dev runs a local cluster for development and tests: the entries and the processes
// beside endpoints run in one operating system process on loopback, with a simulated
// platform, model engines and services.
package dev
