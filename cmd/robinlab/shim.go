package main

import (
	"os"
	"strings"

	"github.com/spf13/cobra"

	"robincart/internal/lab/shim"
)

// shimCommand runs a program under a plan of failing system calls.
func shimCommand() *cobra.Command {
	var plan, journal string
	c := &cobra.Command{Use: "shim --plan FILE PROGRAM [ARG...]", Short: "Run a program whose system calls fail by a plan", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := shim.ReadPlan(plan)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			t := &shim.Tracer{PlanFile: plan, Starter: append([]string{self, "shim-exec", strings.Join(p.Calls, ",")}, args...)}
			if journal != "" {
				if t.Journal, err = os.OpenFile(journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
					return err
				}
				defer t.Journal.Close()
			}
			status, err := t.Run()
			if err == nil && status != 0 {
				os.Exit(status)
			}
			return err
		}}
	c.Flags().StringVar(&plan, "plan", "", "the plan's file; SIGUSR2 has it read again")
	c.Flags().StringVar(&journal, "journal", "", "a line for each injection goes here")
	c.Flags().SetInterspersed(false)
	return c
}

// shimExecCommand is what the shim starts: it becomes the program.
func shimExecCommand() *cobra.Command {
	c := &cobra.Command{Use: "shim-exec CALLS PROGRAM [ARG...]", Hidden: true, Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var calls []string
			if args[0] != "" {
				calls = strings.Split(args[0], ",")
			}
			return shim.Exec(calls, args[1], args[2:])
		}}
	c.Flags().SetInterspersed(false)
	return c
}
