package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/dev"
	"github.com/lavendervale/lavendervale/examples"
	"github.com/lavendervale/lavendervale/script"
)

const (
	devEngines = 3
	devDomains = 3
	// readyTimeout bounds the start of the site.
	readyTimeout = 20 * time.Second
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:      "dev",
		Usage:     "run a whole small site on loopback, with stand-ins",
		UsageText: "lavendervaled dev --program examples/quote.ini --exit",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "script of a program to run"},
			&cli.StringFlag{Name: "configuration", Usage: "what operators publish first, an example when not given"},
			&cli.BoolFlag{Name: "exit", Usage: "stop after the program"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "one of debug, info, warn, error"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	configuration, err := devConfiguration(c.String("configuration"))
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	conf, err := inifile.ReadConfiguration("configuration", configuration)
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	program, err := devScript(c.String("program"))
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	logger, err := newLogger(c.String("log-level"), "console")
	if err != nil {
		return cli.Exit(err, exitInvalid)
	}
	site, err := dev.Start(dev.Config{
		Configuration: string(configuration), Engines: devEngines, Domains: devDomains,
		Services: []string{"payment"}, Logger: logger,
	})
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	defer site.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := site.Ready(ready); err != nil {
		return cli.Exit(err, exitFailed)
	}
	rank := func(name string) string {
		if class, ok := conf.Class(name); ok {
			return class.Rank().String()
		}
		return "-"
	}
	if err := runScript(ctx, site, program, rank); err != nil || c.Bool("exit") {
		return err
	}
	printSite(os.Stdout, site)
	<-ctx.Done()
	return nil
}

func devConfiguration(path string) ([]byte, error) {
	if path == "" {
		return examples.Files.ReadFile("configuration.ini")
	}
	return os.ReadFile(path)
}

func devScript(path string) (*script.Script, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return inifile.ReadScript(path, text)
}

// runScript runs a script, if there is one, and prints its report.
func runScript(ctx context.Context, site *dev.Site, s *script.Script, rank script.RankFunc) error {
	if s == nil {
		return nil
	}
	report := script.Run(ctx, site.Client("entry-1"), s)
	if err := report.Print(os.Stdout, rank); err != nil {
		return cli.Exit(err, exitFailed)
	}
	if !report.Passed() {
		return cli.Exit("the program did not finish within its target", exitFailed)
	}
	return nil
}

func printSite(w io.Writer, site *dev.Site) {
	a := site.Addresses("entry-1")
	fmt.Fprintf(w, `
callers    http://%s   key %s
operators  http://%s   key %s

try next:

  curl -s http://%s/lavendervale.v1.ProgramService/Start \
    -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
    -d '{"class":"quote","key":"01942d5c-0000-7000-8000-000000000001"}'
`, a.Callers, site.CallerKey(), a.Admin, site.OperatorKey(), a.Callers, site.CallerKey())
}
