// Package inifile parses INI files: the settings of a process, the configurations that
// operators publish and scripts of programs. It reports all problems of a file at once.
package inifile
