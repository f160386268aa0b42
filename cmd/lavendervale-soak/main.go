// Command lavendervale-soak plays seeded schedules of faults against fronts that run as
// separate processes, and checks what their callers and endpoints see.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale/standin/soak"
)

const (
	// exitBroken is the exit code if a rule was broken, exitFailed that if a run failed.
	exitBroken, exitFailed = 1, 2
)

func main() {
	err := command().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		os.Exit(exitCoder.ExitCode())
	}
	os.Exit(exitFailed)
}

func command() *cli.Command {
	return &cli.Command{
		Name:      "lavendervale-soak",
		Usage:     "play seeded faults against fronts and check what callers and endpoints see",
		UsageText: "lavendervale-soak --binary target/lavendervaled --seed 1 --seeds 50",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Value: "target/lavendervaled", Usage: "path of the daemon to play"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "number of seeds to play in turn"},
			&cli.DurationFlag{Name: "duration", Value: 45 * time.Second, Usage: "length of each run"},
			&cli.IntFlag{Name: "fronts", Value: 3, Usage: "number of fronts"},
			&cli.StringFlag{Name: "faults", Usage: "faults to draw as a comma list, or to leave out with a minus sign each"},
			&cli.StringFlag{Name: "out", Value: "report/soak", Usage: "folder for the logs of failed runs"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the logs of runs that held too"},
			&cli.StringFlag{Name: "report", Usage: "file for a table of the runs"},
		},
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		HideHelpCommand: true,
		Action:          run,
	}
}

// run plays the seeds in turn.
func run(_ context.Context, c *cli.Command) error {
	faults, err := soak.ParseFaults(c.String("faults"))
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	var results []soak.Result
	broken := 0
	for n := range c.Uint64("seeds") {
		result, err := soak.Run(soak.Config{
			Binary: c.String("binary"), Out: c.String("out"), Seed: c.Uint64("seed") + n, Duration: c.Duration("duration"), Fronts: c.Int("fronts"),
			Faults: faults, GraceSlack: time.Second, ReadyTime: 15 * time.Second, RecoveryTime: 12 * time.Second, Keep: c.Bool("keep"),
		})
		if err != nil {
			return cli.Exit(err, exitFailed)
		}
		if result.Failed() {
			broken++
		}
		fmt.Println(result.Verdict())
		results = append(results, result)
	}
	if path := c.String("report"); path != "" {
		if err := os.WriteFile(path, []byte(soak.Report(results)), 0o644); err != nil {
			return cli.Exit(err, exitFailed)
		}
	}
	if broken > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d seeds are broken", broken, len(results)), exitBroken)
	}
	return nil
}
