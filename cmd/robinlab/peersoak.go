package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/lab/peerplay"
	"robincart/internal/lab/run"
)

const peersHelp = `Plays nodes of 48, 64 or 192 MB before slow, hostile and departing peers, drawn from seeds: crowds
that write or read slowly, stop halfway, or send very many fields; floods on one connection; servers that answer late or
slowly, read slowly, or stop reading; clients that pipeline and leave. In each seed the node's process is killed,
stopped, replaced or reloaded, or a server goes and another process takes its address.`

// peersFlags are the flags of peers.
type peersFlags struct {
	firstSeed uint64
	seeds     int
	node, out string
	patience  time.Duration
	strain    bool
}

func peersCommand() *cobra.Command {
	flags := peersFlags{}
	command := &cobra.Command{
		Use:   "peers",
		Short: "Real nodes before slow and hostile peers, drawn from seeds; exits 1 if a rule was broken",
		Long:  peersHelp,
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return playPeers(command, &flags) },
	}
	set := command.Flags()
	set.Uint64Var(&flags.firstSeed, "first", 1, "the first seed")
	set.IntVar(&flags.seeds, "seeds", 1, "how many")
	registerNodeFlag(command, &flags.node)
	set.BoolVar(&flags.strain, "strain", false,
		"with clients whose requests cost as much as possible for their bytes, the node on one core")
	set.StringVar(&flags.out, "out", "runs", "where configurations and logs go")
	set.DurationVar(&flags.patience, "patience", 250*time.Millisecond,
		"added to the rules' times, for a machine that stalls")
	return command
}

// playPeers plays one seed after another.
func playPeers(command *cobra.Command, flags *peersFlags) error {
	program, err := run.FindProgram(flags.node)
	if err != nil {
		return err
	}
	failed := 0
	end := flags.firstSeed + uint64(flags.seeds)
	for seed := flags.firstSeed; seed < end && command.Context().Err() == nil; seed++ {
		kept, err := playPeerSeed(command, flags, seed, program)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if !kept {
			failed++
		}
	}
	fmt.Fprintf(command.OutOrStdout(), "%d of %d seeds broke something\n", failed, flags.seeds)
	if failed > 0 {
		return errFailed
	}
	return nil
}

// playPeerSeed plays a seed, prints its verdict, and returns whether it kept the rules.
func playPeerSeed(command *cobra.Command, flags *peersFlags, seed uint64, program string) (bool, error) {
	dir, err := emptyFolder(filepath.Join(flags.out, fmt.Sprintf("peers-%d", seed)))
	if err != nil {
		return false, err
	}
	plan := peerplay.DrawPlan(seed)
	if flags.strain {
		plan = peerplay.DrawStrainPlan(seed)
	}
	self, err := os.Executable()
	if err != nil {
		return false, err
	}
	options := peerplay.Options{Program: program, Dir: dir, StrainProgram: self}
	records, err := peerplay.Play(command.Context(), plan, options)
	if err != nil {
		return false, err
	}
	verdict := peerplay.Judge(records, flags.patience)
	out := command.OutOrStdout()
	result := "kept"
	if !verdict.Kept() {
		result = "BROKEN"
	}
	fmt.Fprintf(out, "seed %d: %s; %d of %d MB, %d descriptors, %s, flood %q, %s\n", seed, result,
		records.MostMemory>>20, plan.MemoryMB, plan.Sockets, plan.Event, plan.Flood, records.Summary())
	if flags.strain {
		fmt.Fprintf(out, "  strains %v, %d busy, %d kills\n", plan.Strains, plan.Busy, plan.Kills)
	}
	for _, example := range verdict.Examples {
		fmt.Fprintf(out, "  %s\n", example)
	}
	return verdict.Kept(), nil
}

// emptyFolder makes an empty folder, and returns its absolute path.
func emptyFolder(path string) (string, error) {
	absolute, err := filepath.Abs(path)
	if err != nil {
		return "", err
	}
	if err := os.RemoveAll(absolute); err != nil {
		return "", err
	}
	const folderMode = 0o755
	return absolute, os.MkdirAll(absolute, folderMode)
}
