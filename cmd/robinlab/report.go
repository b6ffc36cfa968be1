package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"robincart/internal/lab/report"
	"robincart/internal/lab/run"
)

func reportCommand() *cobra.Command {
	var page string
	var asJSON bool
	command := &cobra.Command{
		Use:   "report RUN...",
		Short: "Show one run, or several side by side: text, and a page with plots (--html)",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, paths []string) error {
			results, err := loadResults(paths)
			if err != nil {
				return err
			}
			out := command.OutOrStdout()
			if asJSON {
				return printJSON(out, results)
			}
			for _, result := range results {
				run.WriteText(out, result)
			}
			if page == "" {
				return nil
			}
			return writePage(page, results)
		},
	}
	command.Flags().StringVar(&page, "html", "", "write the page here")
	command.Flags().BoolVar(&asJSON, "json", false, "print the figures as JSON")
	return command
}

func loadResults(paths []string) ([]*run.Result, error) {
	var results []*run.Result
	for _, path := range paths {
		result, err := run.Load(path)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// writePage writes the results, side by side, as an HTML page.
func writePage(path string, results []*run.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.HTML(file, results...), file.Close())
}

func selfCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "selfcheck",
		Short: "Check that the judge finds nodes that are faulty on purpose; exits 1 if one is not found",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			findings, err := run.SelfCheck(command.Context())
			if err != nil {
				return err
			}
			if !run.WriteFindings(command.OutOrStdout(), findings) {
				return errFailed
			}
			return nil
		},
	}
}
