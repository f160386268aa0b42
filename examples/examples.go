// Package examples embeds example files: a configuration, settings of each kind of process,
// and scripts of agent programs.
package examples

import "embed"

// Files holds all .ini files of this folder.
//
//go:embed *.ini
var Files embed.FS
