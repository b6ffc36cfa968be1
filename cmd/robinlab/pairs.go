package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"robincart/internal/lab/chaos"
	"robincart/internal/lab/run"
)

const (
	maxPairRequests = 10_000_000
	maxPairCallers  = 1000
)

func pairsCommand() *cobra.Command {
	var node string
	pairs := &chaos.Pairs{}
	command := &cobra.Command{
		Use: "pairs",
		Short: "HTTP and FastCGI on either side of a node, with servers that die in their answers; " +
			"exits 1 if an answer or an effect is one too many or too few",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkPairs(pairs); err != nil {
				return err
			}
			var err error
			if pairs.Program, err = run.FindProgram(node); err != nil {
				return err
			}
			run.RaiseDescriptors()
			if err := pairs.Play(command.Context()); err != nil {
				return err
			}
			out := command.OutOrStdout()
			printPairs(out, pairs.All)
			return printVerdict(out, pairs.Broken, "one answer each, and no effect twice")
		},
	}
	set := command.Flags()
	registerNodeFlag(command, &node)
	set.IntVar(&pairs.Requests, "requests", 25_000, "of each pair, to servers that die")
	set.IntVar(&pairs.Calm, "calm", 20_000, "of each pair before that, to servers that do well")
	set.IntVar(&pairs.Callers, "callers", 32, "at once")
	set.Int64Var(&pairs.Seed, "seed", 1, "of the deaths")
	return command
}

func checkPairs(pairs *chaos.Pairs) error {
	if isBetween(pairs.Requests, maxPairRequests) && isBetween(pairs.Calm, maxPairRequests) &&
		isBetween(pairs.Callers, maxPairCallers) {
		return nil
	}
	return errors.New("--requests and --calm must be between 1 and 10,000,000, --callers between 1 and 1000")
}

func printPairs(out io.Writer, pairs []chaos.Pair) {
	fmt.Fprintf(out, "%-8s %-8s  %12s %8s %8s   %8s %8s %8s  %8s %8s\n",
		"in", "out", "CPU a req.", "p50", "p99", "ok", "503", "504", "effects", "repeats")
	for i := range pairs {
		pair := &pairs[i]
		fmt.Fprintf(out, "%-8s %-8s  %12v %5d µs %5d µs   %8d %8d %8d  %8d %8d  %v\n",
			pair.In, pair.Out, pair.CPU, pair.Latency.ValueAtQuantile(50), pair.Latency.ValueAtQuantile(99),
			pair.Answers[http.StatusOK], pair.Answers[http.StatusServiceUnavailable],
			pair.Answers[http.StatusGatewayTimeout], pair.Effects, pair.Repeats(), pair.Faults)
	}
}
