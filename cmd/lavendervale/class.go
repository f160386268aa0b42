package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
)

func classCommand() *cli.Command {
	return &cli.Command{
		Name:  "class",
		Usage: "list the classes of work",
		Commands: []*cli.Command{{
			Name: "list", Usage: "list the classes of the configuration in force",
			UsageText: "lavendervale class list", Action: listClasses,
		}},
	}
}

// classRow is the JSON output for one class.
type classRow struct {
	Class string `json:"class"`
	Rank  string `json:"rank"`
	// Target is the time in which a whole program should finish, a Go duration such as 5s.
	Target string `json:"target"`
	// Worth is the weight of a program relative to programs of other classes.
	Worth float64 `json:"worth"`
	// Budget is the number of tokens that one program may spend.
	Budget int64 `json:"budget_tokens"`
	// Model is the model that serves the class; empty when the configuration names none.
	Model string `json:"model"`
	// MaxTurns limits the calls of one program; 0 means no limit.
	MaxTurns int `json:"max_turns"`
	// MaxRepeats limits equal calls in a row; 0 means no limit.
	MaxRepeats int `json:"max_repeats"`
}

func listClasses(ctx context.Context, c *cli.Command) error {
	shown, err := currentConfiguration(ctx, c)
	if err != nil {
		return err
	}
	configuration, err := inifile.ParseConfiguration(shown.GetText())
	if err != nil {
		return err
	}
	rows := []classRow{}
	t := &table{header: []string{"CLASS", "RANK", "TARGET", "WORTH", "BUDGET", "MODEL", "MAX TURNS", "MAX REPEATS"}}
	for _, class := range configuration.Classes() {
		rows = append(rows, classRow{
			Class: class.Name(), Rank: class.Rank().String(), Target: class.Target().String(), Worth: class.Worth(),
			Budget: class.Budget(), Model: class.Model(), MaxTurns: class.MaxTurns(), MaxRepeats: class.MaxRepeats(),
		})
		t.addRow(class.Name(), class.Rank(), class.Target().String(), class.Worth(), class.Budget(), class.Model(), class.MaxTurns(), class.MaxRepeats())
	}
	if c.String("output") == "json" {
		return printValueOrLine(c, rows, "")
	}
	return printMessageOrTable(c, nil, t)
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show for each class how many programs met their target",
		UsageText: "lavendervale status --window 5m",
		Flags:     []cli.Flag{&cli.DurationFlag{Name: "window", Value: 5 * time.Minute, Usage: "length of the reported period up to now, at most 10m"}},
		Action:    showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	operatorClient, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	reply, err := operatorClient.Status(ctx, authorizedRequest(c, &pb.StatusRequest{Window: durationpb.New(c.Duration("window"))}))
	if err != nil {
		return err
	}
	t := &table{header: []string{"CLASS", "RANK", "TARGET", "STARTED", "REFUSED", "FINISHED", "CANCELED", "TARGET MET", "P50", "P95"}}
	for _, s := range reply.Msg.GetClasses() {
		t.addRow(s.GetClass(), s.GetRank(), s.GetTarget().AsDuration(), s.GetStarted(), s.GetRefused(), s.GetFinished(),
			s.GetCanceled(), formatPercent(s.GetMet(), s.GetFinished()), s.GetP50().AsDuration(), s.GetP95().AsDuration())
	}
	return printMessageOrTable(c, reply.Msg, t)
}

// formatPercent returns part as a percentage of whole, or "-" when whole is 0.
func formatPercent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}
