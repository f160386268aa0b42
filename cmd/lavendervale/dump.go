package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/api/lavendervale/v1/lavendervalev1connect"
)

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name: "dump", Usage: "print the state of one process as JSON", ArgsUsage: "ADDRESS",
		UsageText: "lavendervale dump 127.0.0.1:7401",
		Action:    dumpProcess,
	}
}

func dumpProcess(ctx context.Context, c *cli.Command) error {
	address := c.Args().First()
	if address == "" {
		address = c.String("admin")
	}
	conn, err := newConnection(c, address)
	if err != nil {
		return err
	}
	dumpClient := lavendervalev1connect.NewDumpServiceClient(conn.httpClient, conn.baseURL)
	reply, err := dumpClient.Dump(ctx, authorizedRequest(c, &pb.DumpRequest{}))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, reply.Msg.GetJson())
	return err
}
