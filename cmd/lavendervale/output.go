package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// table holds the rows of the human-readable output.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) addRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, value := range cells {
		row = append(row, formatCell(value))
	}
	t.rows = append(t.rows, row)
}

// formatCell formats a value; durations are rounded to milliseconds and 0 becomes "-".
func formatCell(value any) string {
	d, ok := value.(time.Duration)
	if !ok {
		return fmt.Sprint(value)
	}
	if d == 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}

// printMessageOrTable writes the message as JSON when the output flag says so, else the table.
func printMessageOrTable(c *cli.Command, message proto.Message, t *table) error {
	if c.String("output") == "json" {
		return printProtoMessage(c, message)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, r := range t.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// printProtoMessage writes a message as JSON with the field names of the .proto file.
func printProtoMessage(c *cli.Command, message proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true, UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, string(text))
	return err
}

// printValueOrLine writes the value as JSON when the output flag says so, else the line.
func printValueOrLine(c *cli.Command, value any, line string) error {
	if c.String("output") != "json" {
		_, err := fmt.Fprintln(c.Root().Writer, line)
		return err
	}
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, string(text))
	return err
}
