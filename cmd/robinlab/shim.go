package main

import (
	"os"
	"strings"

	"github.com/spf13/cobra"

	"robincart/internal/lab/shim"
)

// shimExecName is the subcommand that the tracer starts, and that becomes the traced program.
const shimExecName = "shim-exec"

func shimCommand() *cobra.Command {
	var planPath, journalPath string
	command := &cobra.Command{
		Use:   "shim --plan FILE PROGRAM [ARG...]",
		Short: "Run a program whose system calls fail by a plan",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, programAndArguments []string) error {
			status, err := runTraced(planPath, journalPath, programAndArguments)
			if err == nil && status != 0 {
				os.Exit(status)
			}
			return err
		},
	}
	command.Flags().StringVar(&planPath, "plan", "", "the plan's file; SIGUSR2 has it read again")
	command.Flags().StringVar(&journalPath, "journal", "", "a line for each injection goes here")
	command.Flags().SetInterspersed(false)
	return command
}

// runTraced runs a program under the plan and returns its exit status.
func runTraced(planPath, journalPath string, programAndArguments []string) (status int, err error) {
	plan, err := shim.ReadPlan(planPath)
	if err != nil {
		return 0, err
	}
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	starter := []string{self, shimExecName, strings.Join(plan.Calls, ",")}
	tracer := &shim.Tracer{PlanFile: planPath, Starter: append(starter, programAndArguments...)}
	if journalPath != "" {
		const fileMode = 0o600
		journal, err := os.OpenFile(journalPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
		if err != nil {
			return 0, err
		}
		defer journal.Close()
		tracer.Journal = journal
	}
	return tracer.Run()
}

// shimExecCommand stops at the calls of the plan and becomes the program.
func shimExecCommand() *cobra.Command {
	command := &cobra.Command{
		Use:    shimExecName + " CALLS PROGRAM [ARG...]",
		Hidden: true,
		Args:   cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, arguments []string) error {
			var calls []string
			if arguments[0] != "" {
				calls = strings.Split(arguments[0], ",")
			}
			return shim.Exec(calls, arguments[1], arguments[2:])
		},
	}
	command.Flags().SetInterspersed(false)
	return command
}
