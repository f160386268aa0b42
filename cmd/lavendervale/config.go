package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, read and publish the configuration",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a file and report every error in it", ArgsUsage: "FILE",
				UsageText: "lavendervale config check examples/configuration.ini", Action: checkConfig,
			},
			{
				Name: "show", Usage: "print the configuration in force",
				UsageText: "lavendervale config show > current.ini", Action: showConfig,
			},
			{
				Name: "diff", Usage: "compare a file with the configuration in force", ArgsUsage: "FILE",
				UsageText: "lavendervale config diff next.ini", Action: diffConfig,
			},
			{
				Name: "publish", Usage: "publish a file, unless another version than its base is in force", ArgsUsage: "FILE",
				UsageText: "lavendervale config publish --base 12 next.ini",
				Flags: []cli.Flag{
					&cli.Int64Flag{Name: "base", Value: baseInForce, Usage: "version that the file was made from (default: the version in force)"},
					&cli.StringFlag{Name: "author", Usage: "name recorded as the author (default: the operator of the key)"},
				},
				Action: publishConfig,
			},
			{
				Name: "history", Usage: "list the published versions, accepted and refused",
				UsageText: "lavendervale config history --output json", Action: listConfigHistory,
			},
		},
	}
}

const (
	// baseInForce is the default of --base and stands for the version in force.
	// -1 would be ambiguous: it is configuration.NoVersion, the base of the first version.
	baseInForce = -2
)

// readConfigFile returns the text of the configuration file named by the first argument.
// It fails with exitInvalid when the file is missing or has errors.
func readConfigFile(c *cli.Command) (string, error) {
	path := c.Args().First()
	if path == "" {
		return "", cli.Exit("the FILE argument is missing", exitInvalid)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", cli.Exit(err, exitInvalid)
	}
	if _, err := inifile.ReadConfiguration(path, text); err != nil {
		return "", cli.Exit(err, exitInvalid)
	}
	return string(text), nil
}

func checkConfig(_ context.Context, c *cli.Command) error {
	if _, err := readConfigFile(c); err != nil {
		return err
	}
	return printValueOrLine(c, map[string]any{"valid": true}, c.Args().First()+" is valid")
}

// currentConfiguration fetches the version in force from the entry.
func currentConfiguration(ctx context.Context, c *cli.Command) (*pb.ShowResponse, error) {
	operatorClient, err := newOperatorClient(c)
	if err != nil {
		return nil, err
	}
	reply, err := operatorClient.Show(ctx, authorizedRequest(c, &pb.ShowRequest{}))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

func showConfig(ctx context.Context, c *cli.Command) error {
	shown, err := currentConfiguration(ctx, c)
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return printProtoMessage(c, shown)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "# version %d by %s\n%s", shown.GetVersion(), shown.GetAuthor(), shown.GetText())
	return err
}

func diffConfig(ctx context.Context, c *cli.Command) error {
	text, err := readConfigFile(c)
	if err != nil {
		return err
	}
	shown, err := currentConfiguration(ctx, c)
	if err != nil {
		return err
	}
	for _, line := range diffLines(shown.GetText(), text) {
		fmt.Fprintln(c.Root().Writer, line)
	}
	return nil
}

func publishConfig(ctx context.Context, c *cli.Command) error {
	text, err := readConfigFile(c)
	if err != nil {
		return err
	}
	base := c.Int64("base")
	if base == baseInForce {
		shown, err := currentConfiguration(ctx, c)
		if err != nil {
			return err
		}
		base = shown.GetVersion()
	}
	return publishText(ctx, c, base, c.String("author"), text)
}

// publishText publishes a configuration made from version base and prints the number of
// the new version. It fails with exitConflict when another version than base is in force.
func publishText(ctx context.Context, c *cli.Command, base int64, author, text string) error {
	operatorClient, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	reply, err := operatorClient.Publish(ctx, authorizedRequest(c, &pb.PublishRequest{BaseVersion: base, Author: author, Text: text}))
	var connectErr *connect.Error
	if errors.As(err, &connectErr) && connectErr.Code() == connect.CodeAborted {
		return cli.Exit("conflict: "+connectErr.Message()+"\nread the configuration in force with 'config show', make the change again and publish it", exitConflict)
	}
	if err != nil {
		return err
	}
	return printValueOrLine(c, map[string]any{"version": reply.Msg.GetVersion()}, fmt.Sprintf("version %d is in force", reply.Msg.GetVersion()))
}

func listConfigHistory(ctx context.Context, c *cli.Command) error {
	operatorClient, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	reply, err := operatorClient.History(ctx, authorizedRequest(c, &pb.HistoryRequest{}))
	if err != nil {
		return err
	}
	t := &table{header: []string{"VERSION", "BASE", "AUTHOR", "TIME", "DECISION"}}
	for _, v := range reply.Msg.GetVersions() {
		decision := "accepted"
		if !v.GetAccepted() {
			decision = "refused"
		}
		t.addRow(v.GetVersion(), v.GetBaseVersion(), v.GetAuthor(), v.GetTime().AsTime().Format("2006-01-02 15:04:05"), decision)
	}
	return printMessageOrTable(c, reply.Msg, t)
}
