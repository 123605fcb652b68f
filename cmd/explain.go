package cmd

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
	"github.com/fulmarvalve/fulmarvalve/internal/role/peer"
)

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the decisions about a request: why it was routed, waited, was preempted or refused",
		ArgsUsage: "REQUEST-ID",
		Flags: []cli.Flag{
			peerFlag(),
			&cli.BoolFlag{Name: "json", Usage: "print the records as JSON, one line each"},
		},
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return withCode(ExitUsage, errors.Newf("explain: expected one request ID, got %d arguments", c.Args().Len()))
	}
	ctx, stop := withCallTimeout(ctx)
	defer stop()
	records, err := collectRecords(ctx, c.StringSlice("peer"), c.Args().First())
	if len(records) == 0 && err != nil {
		return withCode(ExitUnavailable, err)
	}
	if len(records) == 0 {
		return withCode(ExitFailure, errors.Newf("explain: none of the processes holds records of request %s", c.Args().First()))
	}
	return printRecords(c, records)
}

// collectRecords requests the records from every process. It returns the records of
// the processes that answer together with the errors of those that do not.
func collectRecords(ctx context.Context, addresses []string, requestID string) ([]explanation.Record, error) {
	var records []explanation.Record
	var failed error
	for _, address := range addresses {
		held, err := peer.FetchRecords(ctx, address, requestID)
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "records of %s", address))
			continue
		}
		records = append(records, held...)
	}
	return records, failed
}

func printRecords(c *cli.Command, records []explanation.Record) error {
	if !c.Bool("json") {
		_, err := fmt.Fprint(c.Root().Writer, explanation.Render(records))
		return err
	}
	encoder := json.NewEncoder(c.Root().Writer)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return errors.Wrap(err, "print record")
		}
	}
	return nil
}
