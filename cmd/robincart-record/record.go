// Command robincart-record reaches the store of record: for nodes, which start it beside them (serve), and for people.
package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robincart/internal/controlplane/recordcache"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/record/store/sqlstore"
	"robincart/internal/system/tomlfile"
)

// recordCommand is for people who look after the record.
func recordCommand() *cobra.Command {
	var address string
	var wait time.Duration
	c := &cobra.Command{Use: "robincart-record", Short: "Make, show, change, save and check the store of record", SilenceUsage: true, SilenceErrors: true}
	c.CompletionOptions.DisableDefaultCmd = true
	c.PersistentFlags().StringVar(&address, "store", "", "its address: sqlite:PATH or postgres://...")
	c.PersistentFlags().DurationVar(&wait, "wait", 5*time.Second, "for the store, at most")
	with := func(f func(ctx context.Context, c *cobra.Command, s store.Database, args []string) error) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, args []string) error {
			if address == "" {
				return errors.New("--store is missing")
			}
			s, err := sqlstore.Open(address)
			if err != nil {
				return err
			}
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			err = f(ctx, c, s, args)
			if errors.Is(err, context.DeadlineExceeded) {
				err = fmt.Errorf("the store at %s did not answer within %v", store.Redact(address), wait)
			}
			return err
		}
	}
	var dry bool
	initial := &cobra.Command{Use: "init", Short: "Make a record, or bring an older one forward", Args: cobra.NoArgs,
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, _ []string) error {
			did, err := s.Init(ctx, dry)
			for _, d := range did {
				fmt.Fprintln(c.OutOrStdout(), map[bool]string{true: "would do: ", false: "done: "}[dry]+d)
			}
			if err == nil && len(did) == 0 {
				fmt.Fprintln(c.OutOrStdout(), "nothing to do")
			}
			return err
		})}
	initial.Flags().BoolVar(&dry, "dry", false, "try, and leave everything as it is")

	var kind string
	show := &cobra.Command{Use: "show", Short: "Print what is recorded", Args: cobra.NoArgs,
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, _ []string) error {
			facts, m, err := all(ctx, s)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "epoch %s, revision %d\n", m.Epoch, m.Revision)
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, f := range record.SortEntries(facts) {
				if kind == "" && !f.Deleted || kind == string(f.Kind) {
					value := string(f.Value)
					if f.Deleted {
						value = "deleted"
					}
					fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\n", f.Kind, f.Name, f.Revision, f.Writer, time.UnixMilli(f.WrittenAt).UTC().Format(time.RFC3339), value)
				}
			}
			return t.Flush()
		})}
	show.Flags().StringVar(&kind, "kind", "", "only these, deleted ones as well: drain, service, tenant, route, server")

	export := &cobra.Command{Use: "export", Short: "Print all of the record, with a checksum, for import", Args: cobra.NoArgs,
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, _ []string) error {
			facts, m, err := all(ctx, s)
			if err != nil {
				return err
			}
			return writeExport(c.OutOrStdout(), m, facts)
		})}

	var dryImport bool
	imports := &cobra.Command{Use: "import FILE", Short: "Put an export in the place of all that is recorded, under a new epoch", Args: cobra.ExactArgs(1),
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, args []string) error {
			facts, m, err := readExport(args[0])
			if err != nil {
				return err
			}
			there, now, err := all(ctx, s)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d facts of epoch %s, revision %d, in the place of %d facts of epoch %s, revision %d\n", len(facts), m.Epoch, m.Revision,
				len(there), now.Epoch, now.Revision)
			if dryImport {
				fmt.Fprintln(c.OutOrStdout(), "nothing was written")
				return nil
			}
			m, err = s.Replace(ctx, facts)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "done: epoch %s, revision %d; nodes write the drains again that they know and it lacks\n", m.Epoch, m.Revision)
			}
			return err
		})}
	imports.Flags().BoolVar(&dryImport, "dry", false, "read and compare only")

	verify := &cobra.Command{Use: "verify", Short: "Look for what should not be in the record", Args: cobra.NoArgs,
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, _ []string) error {
			wrong, err := s.Verify(ctx)
			for _, w := range wrong {
				fmt.Fprintln(c.OutOrStdout(), w)
			}
			if err == nil && len(wrong) > 0 {
				err = fmt.Errorf("%d things are wrong", len(wrong))
			}
			if err == nil {
				fmt.Fprintln(c.OutOrStdout(), "sound")
			}
			return err
		})}

	var snapshot string
	plan := &cobra.Command{Use: "repair-plan", Short: "Say what a node's snapshot knows that the store lacks, and what a node would do", Args: cobra.NoArgs,
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, _ []string) error {
			return repairPlan(ctx, c.OutOrStdout(), s, snapshot)
		})}
	plan.Flags().StringVar(&snapshot, "snapshot", "", "the node's snapshot file")

	var by, until string
	var start int64
	drain := &cobra.Command{Use: "drain SERVICE/SERVER", Short: "Record that a server takes nothing new", Args: cobra.ExactArgs(1),
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, args []string) error {
			d := record.Drain{Start: start, Since: time.Now().UnixMilli(), By: by}
			if until != "" {
				at, err := time.Parse(time.RFC3339, until)
				if err != nil {
					return fmt.Errorf("--until: %w", err)
				}
				d.Until = at.UnixMilli()
			}
			facts, _, err := all(ctx, s)
			if err != nil {
				return err
			}
			for _, f := range facts {
				if f.Kind == record.KindDrain && f.Name == args[0] {
					d.Supersedes = f.Revision
				}
			}
			return change(ctx, c.OutOrStdout(), s, record.KindDrain, args[0], record.AnyRevision, false, by, d)
		})}
	drain.Flags().StringVar(&until, "until", "", "a time such as 2026-04-14T02:00:00Z; without it, for good")
	drain.Flags().Int64Var(&start, "start", 0, "of the process, in ms since 1970; without it whatever runs under that name")
	undrain := &cobra.Command{Use: "undrain SERVICE/SERVER", Short: "End a recorded drain", Args: cobra.ExactArgs(1),
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, args []string) error {
			facts, _, err := all(ctx, s)
			if err != nil {
				return err
			}
			for _, f := range facts {
				if f.Kind == record.KindDrain && f.Name == args[0] && !f.Deleted {
					var d record.Drain
					if err := json.Unmarshal(f.Value, &d); err != nil {
						return err
					}
					d.Ended, d.Supersedes = true, f.Revision
					return change(ctx, c.OutOrStdout(), s, record.KindDrain, args[0], f.Revision, false, by, d)
				}
			}
			return fmt.Errorf("no drain of %s is recorded", args[0])
		})}
	var expect int64
	set := &cobra.Command{Use: "set service|route|tenant NAME FILE", Short: "Record a service or route (TOML, as in the operator's file) or a tenant (JSON with quota and weight)", Args: cobra.ExactArgs(3),
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, args []string) error {
			text, err := tomlfile.Read(args[2], record.MaxValueSize/2)
			if err != nil {
				return err
			}
			var value any = map[string]string{"toml": string(text)}
			k := record.Kind(args[0])
			switch k {
			case record.KindTenant:
				value = json.RawMessage(text)
			case record.KindService, record.KindRoute:
			default:
				return fmt.Errorf("%q is none of service, route, tenant", args[0])
			}
			return change(ctx, c.OutOrStdout(), s, k, args[1], expect, false, by, value)
		})}
	remove := &cobra.Command{Use: "delete KIND NAME", Short: "Take something out of the record", Args: cobra.ExactArgs(2),
		RunE: with(func(ctx context.Context, c *cobra.Command, s store.Database, args []string) error {
			return change(ctx, c.OutOrStdout(), s, record.Kind(args[0]), args[1], expect, true, by, nil)
		})}
	for _, x := range []*cobra.Command{set, remove} {
		x.Flags().Int64Var(&expect, "expect", record.AnyRevision, "the revision that it has to have (0: none), so that nobody's change is written over")
	}
	user := os.Getenv("USER")
	for _, x := range []*cobra.Command{drain, undrain, set, remove} {
		x.Flags().StringVar(&by, "by", user, "who says so")
	}
	var socket string
	serves := &cobra.Command{Use: "serve", Short: "Serve the store to a node on a Unix socket (nodes start it themselves)", Args: cobra.NoArgs, Hidden: true,
		RunE: func(*cobra.Command, []string) error { return serve(os.Getenv("ROBINCART_STORE"), socket) }}
	serves.Flags().StringVar(&socket, "socket", "", "where")
	c.AddCommand(serves, initial, show, export, imports, verify, plan, drain, undrain, set, remove)
	return c
}

// all reads the whole record.
func all(ctx context.Context, s store.Database) (facts []record.Entry, m record.Meta, err error) {
	for after := int64(0); ; {
		p, err := s.Since(ctx, after, 2000)
		if err != nil {
			return nil, m, err
		}
		if facts, m = append(facts, p.Entries...), p.Meta; len(p.Entries) < 2000 {
			return facts, m, nil
		}
		after = p.Entries[len(p.Entries)-1].Revision
	}
}

func change(ctx context.Context, w io.Writer, s store.Database, k record.Kind, name string, expect int64, remove bool, by string, value any) error {
	m, err := s.Meta(ctx)
	if err != nil {
		return err
	}
	c := record.Change{Key: record.Key{Kind: k, Name: name}, ExpectedRevision: expect, Delete: remove, Writer: by, WrittenAt: time.Now().UnixMilli(),
		IdempotencyKey: "hand." + strconv.FormatUint(rand.Uint64(), 36)}
	if !remove {
		if c.Value, err = json.Marshal(value); err != nil {
			return err
		}
	}
	facts, _, err := s.Write(ctx, m.Epoch, []record.Change{c})
	for tries := 0; errors.Is(err, store.ErrOutcomeUnknown) && tries < 3; tries++ { // the mark tells whether it was done
		facts, _, err = s.Write(ctx, m.Epoch, []record.Change{c})
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s %s: revision %d\n", k, name, facts[0].Revision)
	return nil
}

type exportHead struct {
	Form  string      `json:"form"`
	Meta  record.Meta `json:"meta"`
	Facts int         `json:"facts"`
	Sum   string      `json:"sha256"`
}

const exportForm = "robincart record export 1"

func writeExport(w io.Writer, m record.Meta, facts []record.Entry) error {
	var body bytes.Buffer
	e := json.NewEncoder(&body)
	for _, f := range facts {
		if err := e.Encode(f); err != nil {
			return err
		}
	}
	head, err := json.Marshal(exportHead{exportForm, m, len(facts), fmt.Sprintf("%x", sha256.Sum256(body.Bytes()))})
	if err != nil {
		return err
	}
	_, err = w.Write(append(append(head, '\n'), body.Bytes()...))
	return err
}

func readExport(path string) (facts []record.Entry, m record.Meta, err error) {
	text, err := tomlfile.Read(path, 1<<30)
	if err != nil {
		return nil, m, err
	}
	line, body, _ := bytes.Cut(text, []byte("\n"))
	var head exportHead
	if err := json.Unmarshal(line, &head); err != nil || head.Form != exportForm {
		return nil, m, fmt.Errorf("%s is no %s", path, exportForm)
	}
	if fmt.Sprintf("%x", sha256.Sum256(body)) != head.Sum {
		return nil, m, fmt.Errorf("%s is torn or altered: its checksum is another", path)
	}
	lines := bufio.NewScanner(bytes.NewReader(body))
	lines.Buffer(nil, 1<<20)
	for n := 2; lines.Scan(); n++ {
		var f record.Entry
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return nil, m, fmt.Errorf("%s, line %d: %w", path, n, err)
		}
		c := record.Change{Key: f.Key, Delete: f.Deleted, Writer: f.Writer, IdempotencyKey: f.IdempotencyKey, Value: f.Value}
		if err := c.Validate(); err != nil {
			return nil, m, fmt.Errorf("%s, line %d: %w", path, n, err)
		}
		facts = append(facts, f)
	}
	if err := lines.Err(); err != nil || len(facts) != head.Facts {
		return nil, m, errors.Join(err, fmt.Errorf("%s: %d facts of %d", path, len(facts), head.Facts))
	}
	return facts, head.Meta, nil
}

// repairPlan says what a node that starts with a snapshot would do with a store.
func repairPlan(ctx context.Context, w io.Writer, s store.Database, path string) error {
	snap, found, err := recordcache.LoadSnapshot(path)
	switch {
	case err != nil:
		return err
	case !found:
		return fmt.Errorf("there is no snapshot at %q", path)
	}
	facts, m, err := all(ctx, s)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "snapshot: epoch %s, revision %d; store: epoch %s, revision %d\n", snap.Meta.Epoch, snap.Meta.Revision, m.Epoch, m.Revision)
	n := 0
	v := record.NewView("plan", 1<<30, func() string { n++; return fmt.Sprint("plan", n) })
	now := time.Now().UnixMilli()
	v.Restore(snap, now)
	v.ApplyPage(record.Page{Meta: m, Complete: true, Entries: facts}, now)
	fmt.Fprintf(w, "the node finds: %v\n", v.SyncState)
	for _, c := range v.Pending(1 << 30) {
		fmt.Fprintf(w, "would be written again: %s %s %s\n", c.Kind, c.Name, c.Value)
	}
	there := map[record.Key]record.Entry{}
	for _, f := range facts {
		there[f.Key] = f
	}
	for _, f := range snap.Entries {
		if t, ok := there[f.Key]; f.Kind != record.KindDrain && f.Kind != record.KindServer && (!ok || t.Revision < f.Revision) && string(t.Value) != string(f.Value) {
			fmt.Fprintf(w, "the store has an older %s %s (revision %d, the node %d): look, and set it by hand\n", f.Kind, f.Name, t.Revision, f.Revision)
		}
	}
	if v.PendingCount() == 0 {
		fmt.Fprintln(w, "nothing would be written")
	}
	return nil
}

// serve serves a store until the program is told to stop, or its standard input ends: that is the node's side of a pipe, which
// closes with the node, however that ends. The address is taken from the environment, since others can see arguments and it may
// hold a password.
func serve(address, socket string) error {
	if address == "" || socket == "" {
		return errors.New("ROBINCART_STORE and --socket name the store and the socket")
	}
	s, err := sqlstore.OpenExisting(address)
	if err != nil {
		return err
	}
	defer s.Close()
	os.Remove(socket)
	ln, err := net.Listen("unix", socket)
	if err != nil {
		return err
	}
	if err := os.Chmod(socket, 0o600); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		io.Copy(io.Discard, os.Stdin)
		stop()
	}()
	store.Serve(ctx, ln, s)
	return nil
}

func main() {
	if err := recordCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "robincart-record:", err)
		os.Exit(1)
	}
}
