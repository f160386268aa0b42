package main

import (
	"strings"

	"github.com/urfave/cli/v3"
)

// splitMethod splits SERVICE/METHOD; both parts must be non-empty.
func splitMethod(text string) (string, string, error) {
	service, method, ok := strings.Cut(text, "/")
	if !ok || service == "" || method == "" {
		return "", "", cli.Exit("method \""+text+"\" does not have the form SERVICE/METHOD", exitInvalid)
	}
	return service, method, nil
}
