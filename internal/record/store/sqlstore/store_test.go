package sqlstore

import (
	"context"
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/lab/pgstand"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
)

// each runs a test on both stores. The server is nil for SQLite.
func each(t *testing.T, f func(t *testing.T, open func() store.Database, s *pgstand.Server)) {
	t.Run("sqlite", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "record # 1?.db")
		f(t, opener(t, "sqlite:"+path), nil)
	})
	t.Run("postgres", func(t *testing.T) {
		s, err := pgstand.Start("127.0.0.1:0", filepath.Join(t.TempDir(), "rows"))
		require.NoError(t, err)
		t.Cleanup(s.Stop)
		f(t, opener(t, s.Address()), s)
	})
}

func opener(t *testing.T, address string) func() store.Database {
	return func() store.Database {
		s, err := Open(address)
		require.NoError(t, err)
		t.Cleanup(func() { s.Close() })
		return s
	}
}

func begun(t *testing.T, s store.Database) record.Meta {
	_, err := s.Init(t.Context(), false)
	require.NoError(t, err)
	m, err := s.Meta(t.Context())
	require.NoError(t, err)
	return m
}

func route(name string, expect int64, mark, value string) record.Change {
	return record.Change{Key: record.Key{Kind: record.KindRoute, Name: name}, ExpectedRevision: expect, Writer: "test", IdempotencyKey: mark, WrittenAt: 7, Value: json.RawMessage(value)}
}

func TestARecordIsMadeOnceAndBroughtForwardOnly(t *testing.T) {
	each(t, func(t *testing.T, open func() store.Database, _ *pgstand.Server) {
		s, ctx := open(), t.Context()
		_, err := s.Meta(ctx)
		assert.ErrorIs(t, err, store.ErrNoRecord)
		did, err := s.Init(ctx, true)
		assert.NoError(t, err)
		assert.Len(t, did, 3)
		_, err = s.Meta(ctx)
		assert.ErrorIs(t, err, store.ErrNoRecord, "a dry run leaves nothing")
		m := begun(t, s)
		assert.Len(t, m.Epoch, 24)
		did, err = s.Init(ctx, false)
		assert.NoError(t, err)
		assert.Empty(t, did)
		again, err := s.Meta(ctx)
		assert.NoError(t, err)
		assert.Equal(t, m, again)
		for _, schema := range []int{1, Schema + 1} {
			want := store.ErrSchemaOlder
			if schema > Schema {
				want = store.ErrSchemaNewer
			}
			_, err = db(s).Exec(fmt.Sprint("UPDATE record_meta SET schema_version = ", schema))
			require.NoError(t, err)
			_, err = s.Meta(ctx)
			assert.ErrorIs(t, err, want)
			_, err = s.Since(ctx, 0, 9)
			assert.ErrorIs(t, err, want)
			_, _, err = s.Write(ctx, m.Epoch, nil)
			assert.ErrorIs(t, err, want)
		}
		_, err = s.Init(ctx, false)
		assert.ErrorIs(t, err, store.ErrSchemaNewer)
		_, err = db(s).Exec("UPDATE record_meta SET application = 'another', schema_version = 2")
		require.NoError(t, err)
		_, err = s.Meta(ctx)
		assert.ErrorIs(t, err, store.ErrForeign)
	})
}

func db(s store.Database) *sql.DB {
	if f, ok := s.(*file); ok {
		return f.db
	}
	return s.(*server).db
}

func TestChangesAreWrittenTogetherOrNotAtAll(t *testing.T) {
	each(t, func(t *testing.T, open func() store.Database, _ *pgstand.Server) {
		s, ctx := open(), t.Context()
		m := begun(t, s)
		facts, m, err := s.Write(ctx, m.Epoch, []record.Change{route("a", 0, "1", `{"to":"x"}`), route("b", 0, "2", `"ü\n"`)})
		require.NoError(t, err)
		assert.EqualValues(t, 2, m.Revision)
		assert.EqualValues(t, 1, facts[0].Revision)
		_, _, err = s.Write(ctx, m.Epoch, []record.Change{route("c", 0, "3", "1"), route("a", 0, "4", "2")})
		var lost *record.ConflictError
		require.ErrorAs(t, err, &lost)
		assert.JSONEq(t, `{"to":"x"}`, string(lost.Current.Value), "the loser sees what won")
		page, err := s.Since(ctx, 0, 9)
		require.NoError(t, err)
		assert.True(t, page.Complete)
		assert.Len(t, page.Entries, 2, "nothing of a change that lost is there")
		assert.Equal(t, facts, page.Entries)
		facts, m, err = s.Write(ctx, m.Epoch, []record.Change{route("a", 1, "5", `{"to":"y"}`), {Key: record.Key{Kind: record.KindRoute, Name: "b"}, ExpectedRevision: 2, Delete: true, IdempotencyKey: "6"}})
		require.NoError(t, err)
		assert.EqualValues(t, 4, m.Revision)
		page, err = s.Since(ctx, 2, 9)
		require.NoError(t, err)
		assert.False(t, page.Complete)
		assert.Equal(t, facts, page.Entries, "what was deleted is told, too")
		page, err = s.Since(ctx, 0, 1)
		require.NoError(t, err)
		assert.EqualValues(t, 3, page.Meta.Revision, "a page stands where it ends")
		again, m2, err := s.Write(ctx, m.Epoch, []record.Change{route("a", 1, "5", `{"to":"y"}`)})
		assert.NoError(t, err, "the same change again is done already")
		assert.Equal(t, m, m2)
		assert.EqualValues(t, 3, again[0].Revision)
		_, _, err = s.Write(ctx, "other", []record.Change{route("a", 3, "7", "1")})
		assert.ErrorIs(t, err, record.ErrEpochMismatch)
		fresh, err := s.Replace(ctx, page.Entries)
		require.NoError(t, err)
		assert.NotEqual(t, m.Epoch, fresh.Epoch)
		_, _, err = s.Write(ctx, m.Epoch, []record.Change{route("a", 1, "8", "1")})
		assert.ErrorIs(t, err, record.ErrEpochMismatch, "who has not seen the new epoch writes nothing into it")
		wrong, err := s.Verify(ctx)
		assert.NoError(t, err)
		assert.Empty(t, wrong)
		_, err = db(s).Exec("UPDATE record_fact SET kind = 'nonsense', revision = 99")
		require.NoError(t, err)
		wrong, err = s.Verify(ctx)
		assert.NoError(t, err)
		assert.Len(t, wrong, 2)
	})
}

func TestAWriteWakesWhoWaits(t *testing.T) {
	each(t, func(t *testing.T, open func() store.Database, _ *pgstand.Server) {
		a, b, ctx := open(), open(), t.Context()
		m := begun(t, a)
		b.Wait(ctx, time.Millisecond)
		woke := make(chan error, 1)
		go func() { woke <- b.Wait(ctx, 30*time.Second) }()
		for i := range 200 {
			_, _, err := a.Write(ctx, m.Epoch, []record.Change{route("a", record.AnyRevision, fmt.Sprint(i), fmt.Sprint(i))})
			require.NoError(t, err)
			select {
			case err := <-woke:
				assert.NoError(t, err)
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		t.Error("nobody woke")
	})
}

func TestWhatIsWrongIsSaidPlainly(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "text")
	require.NoError(t, os.WriteFile(path, []byte(strings.Repeat("this is no database ", 500)), 0o600))
	s := opener(t, "sqlite:"+path)()
	_, err := s.Meta(t.Context())
	assert.ErrorIs(t, err, store.ErrForeign)
	s = opener(t, "sqlite:"+filepath.Join(dir, "none", "x"))()
	_, err = s.Meta(t.Context())
	assert.ErrorIs(t, err, store.ErrAccessDenied)

	path = filepath.Join(dir, "damaged")
	s = opener(t, "sqlite:"+path)()
	m := begun(t, s)
	for i := range 300 {
		_, _, err := s.Write(t.Context(), m.Epoch, []record.Change{route(fmt.Sprint(i), 0, fmt.Sprint(i), `"`+strings.Repeat("x", 2000)+`"`)})
		require.NoError(t, err)
	}
	require.NoError(t, s.Close())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for i := 8192; i < len(text); i++ {
		text[i] ^= 0x5a
	}
	require.NoError(t, os.WriteFile(path, text, 0o600))
	s = opener(t, "sqlite:"+path)()
	_, err = s.Since(t.Context(), 0, 1000)
	assert.ErrorIs(t, err, store.ErrDamaged)

	p, err := pgstand.Start("127.0.0.1:0", filepath.Join(dir, "rows"))
	require.NoError(t, err)
	defer p.Stop()
	begun(t, opener(t, p.Address())())
	_, err = opener(t, strings.Replace(p.Address(), "cart", "horse", 1))().Meta(t.Context())
	assert.ErrorIs(t, err, store.ErrAccessDenied)
	assert.NotContains(t, err.Error(), "horse")
	for code, want := range map[string]error{"40001": store.ErrBusy, "53300": store.ErrBusy, "25006": store.ErrReadOnly, "53100": store.ErrDiskFull, "XX001": store.ErrDamaged} {
		p.Fail(code, 1)
		_, _, err := opener(t, p.Address())().Write(t.Context(), "x", nil)
		assert.ErrorIs(t, err, want, code)
	}
	for _, address := range []string{"", "mysql://x", "sqlite:", "postgres://u:secret@[::1"} {
		_, err := Open(address)
		if assert.Error(t, err, address) {
			assert.NotContains(t, err.Error(), "secret")
		}
	}
}

// A commit whose outcome is not known is written again with its mark: once, whether it was done or not.
func TestACommitOfUnknownOutcomeIsDoneOnce(t *testing.T) {
	p, err := pgstand.Start("127.0.0.1:0", filepath.Join(t.TempDir(), "rows"))
	require.NoError(t, err)
	defer p.Stop()
	s := opener(t, p.Address())()
	m := begun(t, s)
	for i, fault := range []pgstand.CommitFault{pgstand.CommitThenCut, pgstand.CutInstead} {
		p.Commit(fault, 1)
		c := []record.Change{route(fmt.Sprint("r", i), 0, fmt.Sprint("m", i), "1")}
		_, _, err = s.Write(t.Context(), m.Epoch, c)
		require.ErrorIs(t, err, store.ErrOutcomeUnknown)
		facts, now, err := s.Write(t.Context(), m.Epoch, c)
		require.NoError(t, err)
		assert.EqualValues(t, i+1, facts[0].Revision)
		assert.EqualValues(t, i+1, now.Revision)
	}
	for n := 1; n < 7; n++ { // a connection that ends in the middle of a transaction has written nothing
		p.CutIn(n)
		c := []record.Change{route(fmt.Sprint("c", n), 0, fmt.Sprint("c", n), "1")}
		for try := 0; ; try++ {
			if _, _, err = s.Write(t.Context(), m.Epoch, c); err == nil {
				break
			}
			require.Less(t, try, 5, err)
		}
	}
	wrong, err := s.Verify(t.Context())
	assert.NoError(t, err)
	assert.Empty(t, wrong)
	now, err := s.Meta(t.Context())
	assert.NoError(t, err)
	assert.EqualValues(t, 8, now.Revision)
}

type call struct {
	write  bool
	expect int64
	mark   string
}

type result struct {
	revision int64
	mark     string
	unknown  bool
}

// One route as a register with compare and set.
var register = porcupine.Model{
	Init: func() any { return result{} },
	Step: func(state, input, output any) (bool, any) {
		is, in, out := state.(result), input.(call), output.(result)
		if !in.write {
			return out == is, is
		}
		won := in.expect == is.revision
		switch {
		case out.unknown: // a later read shows whether it was done; the model takes either
			return true, is
		case out.mark == in.mark:
			return won && out.revision > is.revision, result{revision: out.revision, mark: in.mark}
		}
		return !won && out == is, is
	},
	Equal: func(a, b any) bool { return a == b },
}

// Writers that race on one route, some of whose connections are cut: the history is linearizable, and what was acknowledged
// is there.
func TestRacingWritersAreLinearizable(t *testing.T) {
	each(t, func(t *testing.T, open func() store.Database, p *pgstand.Server) {
		m := begun(t, open())
		var mu sync.Mutex
		var history []porcupine.Operation
		start := time.Now()
		var all sync.WaitGroup
		for w := range 4 {
			s, rng := open(), rand.New(rand.NewSource(int64(w)))
			all.Go(func() {
				seen := int64(0)
				for i := range 25 {
					in := call{write: rng.Intn(3) > 0, expect: seen, mark: fmt.Sprintf("%d.%d", w, i)}
					if p != nil && rng.Intn(12) == 0 {
						p.CutIn(1 + rng.Intn(9))
					}
					out, from := result{}, time.Since(start)
					for again := true; again; { // until it is known
						again = false
						if !in.write {
							page, err := s.Since(t.Context(), 0, 9)
							if again = err != nil; !again && len(page.Entries) > 0 {
								out = result{revision: page.Entries[0].Revision, mark: page.Entries[0].IdempotencyKey}
							}
							continue
						}
						facts, _, err := s.Write(t.Context(), m.Epoch, []record.Change{route("r", in.expect, in.mark, fmt.Sprintf("%q", in.mark))})
						var lost *record.ConflictError
						switch {
						case err == nil:
							out = result{revision: facts[0].Revision, mark: facts[0].IdempotencyKey}
						case errors.As(err, &lost):
							out = result{revision: lost.Current.Revision, mark: lost.Current.IdempotencyKey}
						default:
							again = true
						}
					}
					seen = out.revision
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: w, Input: in, Output: out, Call: int64(from), Return: int64(time.Since(start))})
					mu.Unlock()
				}
			})
		}
		all.Wait()
		won := 0
		for _, o := range history {
			if in, out := o.Input.(call), o.Output.(result); in.write && in.mark == out.mark {
				won++
			}
		}
		assert.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(register, history, 30*time.Second))
		now, err := open().Meta(t.Context())
		assert.NoError(t, err)
		assert.EqualValues(t, won, now.Revision, "each change acknowledged has a revision, and nothing else has")
	})
}

func BenchmarkWrite(b *testing.B) {
	p, err := pgstand.Start("127.0.0.1:0", filepath.Join(b.TempDir(), "rows"))
	require.NoError(b, err)
	defer p.Stop()
	for name, address := range map[string]string{"sqlite": "sqlite:" + filepath.Join(b.TempDir(), "r"), "postgres stand-in": p.Address()} {
		for _, batch := range []int{1, 100} {
			b.Run(fmt.Sprintf("%s, %d a transaction", name, batch), func(b *testing.B) {
				s, err := Open(address)
				require.NoError(b, err)
				defer s.Close()
				ctx := context.Background()
				s.Init(ctx, false)
				m, err := s.Meta(ctx)
				require.NoError(b, err)
				for i := 0; b.Loop(); i++ {
					var cs []record.Change
					for k := range batch {
						cs = append(cs, route(fmt.Sprint(k), record.AnyRevision, fmt.Sprintf("%d.%d.%d", batch, i, k), fmt.Sprint(i)))
					}
					if _, _, err := s.Write(ctx, m.Epoch, cs); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(batch*b.N)/b.Elapsed().Seconds(), "facts/s")
			})
		}
	}
}
