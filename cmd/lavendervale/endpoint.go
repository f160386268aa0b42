package main

import (
	"context"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
)

func endpointCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoint",
		Usage: "list, drain and return endpoints",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list the endpoints that the entry knows",
				UsageText: "lavendervale endpoint list", Action: listEndpoints,
			},
			{
				Name: "drain", Usage: "stop sending new work to an endpoint", ArgsUsage: "NAME",
				UsageText: "lavendervale endpoint drain model-2", Action: drainEndpoint,
			},
			{
				Name: "return", Usage: "send new work to a drained endpoint again", ArgsUsage: "NAME",
				UsageText: "lavendervale endpoint return model-2", Action: returnEndpoint,
			},
		},
	}
}

// fetchEndpoints returns the endpoints that the entry knows.
func fetchEndpoints(ctx context.Context, c *cli.Command) (*pb.EndpointsResponse, error) {
	operatorClient, err := newOperatorClient(c)
	if err != nil {
		return nil, err
	}
	reply, err := operatorClient.Endpoints(ctx, authorizedRequest(c, &pb.EndpointsRequest{}))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

func listEndpoints(ctx context.Context, c *cli.Command) error {
	list, err := fetchEndpoints(ctx, c)
	if err != nil {
		return err
	}
	t := &table{header: []string{"NAME", "ROLE", "DOMAIN", "STATE", "PROGRAMS", "RUNNING", "WAITING", "CONFIG", "ADDRESS"}}
	for _, e := range list.GetEndpoints() {
		t.addRow(e.GetName(), e.GetRole(), e.GetDomain(), e.GetState(), e.GetPrograms(), e.GetRunning(), e.GetWaiting(),
			e.GetConfigVersion(), e.GetAddress())
	}
	return printMessageOrTable(c, list, t)
}

func drainEndpoint(ctx context.Context, c *cli.Command) error {
	return publishDrainList(ctx, c, func(names []string, name string) []string {
		if slices.Contains(names, name) {
			return names
		}
		return append(names, name)
	})
}

func returnEndpoint(ctx context.Context, c *cli.Command) error {
	return publishDrainList(ctx, c, func(names []string, name string) []string {
		return slices.DeleteFunc(names, func(n string) bool { return n == name })
	})
}

// publishDrainList publishes the configuration in force with the list of draining
// endpoints that update returns. The first argument of the command is the endpoint's name.
func publishDrainList(ctx context.Context, c *cli.Command, update func(names []string, name string) []string) error {
	name := c.Args().First()
	if name == "" {
		return cli.Exit("the NAME argument is missing", exitInvalid)
	}
	list, err := fetchEndpoints(ctx, c)
	if err != nil {
		return err
	}
	known := slices.ContainsFunc(list.GetEndpoints(), func(e *pb.Endpoint) bool { return e.GetName() == name })
	if !known {
		return cli.Exit("the entry knows no endpoint "+name+", see 'endpoint list'", exitInvalid)
	}
	shown, err := currentConfiguration(ctx, c)
	if err != nil {
		return err
	}
	configuration, err := inifile.ParseConfiguration(shown.GetText())
	if err != nil {
		return err
	}
	text := replaceDrainSection(shown.GetText(), update(configuration.DrainingEndpoints(), name))
	return publishText(ctx, c, shown.GetVersion(), "", text)
}

// replaceDrainSection returns the configuration text with a drain section that lists the
// names, or with none when names is empty.
func replaceDrainSection(text string, names []string) string {
	var remainingLines []string
	inDrain := false
	for _, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		if trimmed := strings.TrimSpace(line); strings.HasPrefix(trimmed, "[") {
			inDrain = trimmed == "[drain]"
		}
		if !inDrain {
			remainingLines = append(remainingLines, line)
		}
	}
	out := strings.TrimRight(strings.Join(remainingLines, "\n"), "\n") + "\n"
	if len(names) == 0 {
		return out
	}
	return out + "\n[drain]\nendpoints = " + strings.Join(names, ", ") + "\n"
}
