package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"robincart/internal/lab/fleet"
	"robincart/internal/lab/run"
)

func fleetCommand() *cobra.Command {
	var node, out string
	var sizes []int
	var asJSON, quiet, check, through bool
	c := &cobra.Command{Use: "fleet FILE...", Short: "Play days of a whole fleet's control side, its nodes hollow; exits 0 if all kept to what they expect, 1 if not, 2 on bad input",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			var all []*fleet.File
			for _, p := range paths { // nothing is started before all of it is read
				f, err := fleet.Read(p)
				if err != nil {
					return err
				}
				if through {
					f.Through = true
				}
				for _, n := range sizes {
					if n < f.Zones || n > 2000 {
						return fmt.Errorf("--nodes: %d is not in %d to 2000", n, f.Zones)
					}
				}
				all = append(all, f)
			}
			if check {
				for _, f := range all {
					fmt.Fprintf(c.OutOrStdout(), "%s: sizes %v, %d services, %d regions, %d zones, %d steps\n", f.Name, f.Sizes, f.Services, f.Regions, f.Zones, len(f.Step))
				}
				return nil
			}
			program, err := run.FindProgram(node)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o := fleet.Options{Node: program, Controller: filepath.Join(filepath.Dir(program), "robincart-controller"), Lab: self}
			if !quiet {
				o.Notes = func(format string, args ...any) { fmt.Fprintf(c.ErrOrStderr(), "  "+format+"\n", args...) }
			}
			if _, err := os.Stat(o.Controller); err != nil {
				return fmt.Errorf("the controller's program: %w", err)
			}
			failed := false
			for _, f := range all {
				of := f.Sizes
				if len(sizes) > 0 {
					of = sizes
				}
				for _, n := range of {
					if o.Dir, err = os.MkdirTemp(out, "fleet-"); err != nil {
						return err
					}
					res, err := fleet.Play(c.Context(), f, n, o)
					if err != nil {
						return errors.Join(fmt.Errorf("%s, %d nodes (logs in %s): %w", f.Name, n, o.Dir, err))
					}
					if asJSON {
						e := json.NewEncoder(c.OutOrStdout())
						e.SetIndent("", " ")
						e.Encode(res)
					} else {
						res.Text(c.OutOrStdout())
					}
					if res.Passed() {
						os.RemoveAll(o.Dir)
					} else {
						failed = true
						fmt.Fprintf(c.OutOrStdout(), " logs in %s\n", o.Dir)
					}
				}
			}
			if failed {
				return errFailed
			}
			return nil
		}}
	c.Flags().IntSliceVar(&sizes, "nodes", nil, "other sizes than the file's")
	c.Flags().BoolVar(&through, "through", false, "nodes are told the record by the controllers, whatever the files say")
	c.Flags().StringVar(&node, "node", "", "the node's program (default: robincart beside this program, or bin/robincart); robincart-controller is taken from beside it")
	c.Flags().StringVar(&out, "out", "", "where files and logs go (default: the system's place for temporary files)")
	c.Flags().BoolVar(&asJSON, "json", false, "print the figures as JSON")
	c.Flags().BoolVar(&quiet, "quiet", false, "no progress")
	c.Flags().BoolVar(&check, "check", false, "read the files and play nothing")
	return c
}

// fleetPartCommand is what the lab starts by itself: a process of hollow nodes, or the store's stand-in.
func fleetPartCommand() *cobra.Command {
	return &cobra.Command{Use: "fleet-part", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error { return fleet.Part(args[0]) }}
}
