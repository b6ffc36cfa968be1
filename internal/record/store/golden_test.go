package store

// The golden files under testdata were written by the code of commit 0cdd5b2. They have the request lines that a node
// of that version sends to its store's process and to the controller, and the lines of the answers. Never regenerate
// the files after a rename: a test that fails here has found a change of the protocol.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/internal/record/record"
	"robincart/internal/testutil/golden"
)

// answerTimeout limits the wait for an answer that does not arrive because the protocol has changed.
const answerTimeout = 10 * time.Second

var (
	goldenMeta  = record.Meta{Epoch: "epoch-1", Revision: 41}
	goldenKnown = record.Meta{Epoch: "epoch-2", Revision: 42}
)

func goldenEntry() record.Entry {
	return record.Entry{
		Key:            record.Key{Kind: record.KindServer, Name: "shop/a1"},
		Revision:       43,
		Deleted:        true,
		Writer:         "node-1",
		IdempotencyKey: "node-1.boot.7",
		WrittenAt:      1765000000123,
		Value:          json.RawMessage(`{"addr":"10.0.0.1:8080","phase":"ready"}`),
	}
}

func goldenChange() record.Change {
	return record.Change{
		Key:              record.Key{Kind: record.KindDrain, Name: "shop/b2"},
		ExpectedRevision: 44,
		Delete:           true,
		Writer:           "node-2",
		IdempotencyKey:   "node-2.boot.8",
		WrittenAt:        1765000000456,
		Value:            json.RawMessage(`{"start_ms":5,"since_ms":6,"by":"alice"}`),
	}
}

func goldenPage() record.Page {
	return record.Page{Meta: goldenMeta, Complete: true, Entries: []record.Entry{goldenEntry()}}
}

func goldenConflict() *record.ConflictError {
	return &record.ConflictError{Change: goldenChange(), Current: goldenEntry()}
}

func goldenStale() *record.StaleError {
	return &record.StaleError{Change: goldenChange(), Current: goldenEntry()}
}

func TestGolden_JSON(t *testing.T) {
	t.Run("request", func(t *testing.T) {
		golden.FullJSON(t, "call.json", request{
			Op:       "write",
			After:    11,
			Limit:    12,
			Epoch:    "epoch-1",
			Changes:  []record.Change{goldenChange()},
			TimeLeft: 90 * time.Second,
			Position: &goldenKnown,
		})
	})
	t.Run("request zero", func(t *testing.T) { golden.JSON(t, "call_zero.json", request{}) })
	t.Run("response", func(t *testing.T) {
		golden.FullJSON(t, "reply.json", response{
			Meta:     goldenMeta,
			Page:     goldenPage(),
			Entries:  []record.Entry{goldenEntry()},
			Error:    "what went wrong",
			Code:     "behind",
			Conflict: goldenConflict(),
			Stale:    goldenStale(),
		})
	})
	t.Run("response zero", func(t *testing.T) { golden.JSON(t, "reply_zero.json", response{}) })
	t.Run("position", func(t *testing.T) { golden.FullJSON(t, "stand.json", Position{Meta: goldenMeta, Age: 250}) })
	t.Run("position zero", func(t *testing.T) { golden.JSON(t, "stand_zero.json", Position{}) })
}

// Each side identifies an error of the other side by the transmitted code, regardless of the text.
func TestGolden_ErrorCodes(t *testing.T) {
	codes := map[string]error{
		"foreign":   ErrForeign,
		"newer":     ErrSchemaNewer,
		"older":     ErrSchemaOlder,
		"none":      ErrNoRecord,
		"damaged":   ErrDamaged,
		"denied":    ErrAccessDenied,
		"unknown":   ErrOutcomeUnknown,
		"full":      ErrDiskFull,
		"busy":      ErrBusy,
		"read only": ErrReadOnly,
		"epoch":     record.ErrEpochMismatch,
		"behind":    record.ErrReplicaBehind,
		"back":      record.ErrRolledBack,
	}
	assert.Len(t, errorCodes, len(codes))
	for code, known := range codes {
		var written response
		written.setError(known)
		assert.Equal(t, code, written.Code)
		read := response{Error: "a text", Code: code}
		assert.ErrorIs(t, read.err(), known)
	}
}

// recorder records the request lines of calls.
type recorder struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// timeLeftField matches the field TimeLeft of a request, whose value varies if the call has a deadline.
var timeLeftField = regexp.MustCompile(`"left":\d+`)

func (r *recorder) add(line string) {
	if strings.Contains(line, `"op":"wait"`) {
		line = timeLeftField.ReplaceAllString(line, `"left":0`)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines.WriteString(line)
}

func (r *recorder) bytes() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.lines.Bytes())
}

// serve records the request line of each connection to a listener, and answers it with the golden response for its op.
func (r *recorder) serve(t *testing.T, listener net.Listener, responses map[string][]byte) {
	var server sync.WaitGroup
	server.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(connection).ReadString('\n')
			r.add(line)
			connection.Write(responses[opOf(line)])
			connection.Close()
		}
	})
	t.Cleanup(func() { listener.Close(); server.Wait() })
}

// opOf returns the op of a request line. It does not use the types under test to decode the line.
func opOf(line string) string {
	var keys map[string]any
	json.Unmarshal([]byte(line), &keys)
	op, _ := keys["op"].(string)
	return op
}

// goldenLines returns the lines of a golden file, each with its newline.
func goldenLines(t *testing.T, name string) []string {
	t.Helper()
	return slices.Collect(strings.Lines(string(golden.Read(t, name))))
}

// Checks the request lines that a node sends to its store's process, and the results that it decodes from the answers.
func TestGolden_RemoteCalls(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	listener, err := net.Listen("unix", socket)
	require.NoError(t, err)
	var calls recorder
	responses := map[string][]byte{}
	for _, op := range []string{"meta", "since", "write", "wait"} {
		responses[op] = golden.Read(t, "served_"+op+".json")
	}
	calls.serve(t, listener, responses)

	remote := Remote(socket)
	meta, err := remote.Meta(t.Context())
	require.NoError(t, err)
	assert.Equal(t, goldenMeta, meta)
	page, err := remote.Since(t.Context(), 11, 12)
	require.NoError(t, err)
	assert.Equal(t, goldenPage(), page)
	entries, meta, err := remote.Write(t.Context(), "epoch-1", []record.Change{goldenChange()})
	require.NoError(t, err)
	assert.Equal(t, []record.Entry{goldenEntry()}, entries)
	assert.Equal(t, goldenMeta, meta)
	require.NoError(t, remote.Wait(t.Context(), 2500*time.Millisecond))
	golden.Check(t, "remote_calls.jsonl", calls.bytes())
}

// Checks the errors that a node decodes from the answers to a rejected or failed write.
func TestGolden_RemoteErrors(t *testing.T) {
	for _, rejection := range []string{"conflict", "stale", "fault"} {
		t.Run(rejection, func(t *testing.T) {
			socket := filepath.Join(t.TempDir(), "s")
			listener, err := net.Listen("unix", socket)
			require.NoError(t, err)
			var calls recorder
			calls.serve(t, listener, map[string][]byte{"write": golden.Read(t, "served_"+rejection+".json")})
			_, _, err = Remote(socket).Write(t.Context(), "epoch-1", []record.Change{goldenChange()})
			switch rejection {
			case "conflict":
				assert.Equal(t, goldenConflict(), err)
			case "stale":
				assert.Equal(t, goldenStale(), err)
			default:
				assert.ErrorIs(t, err, ErrBusy)
				assert.EqualError(t, err, "what went wrong")
			}
		})
	}
}

// Checks the request lines that a node sends to the controller, and the results that it decodes from the answers.
func TestGolden_ControllerCalls(t *testing.T) {
	var calls recorder
	position := golden.Read(t, "stand.json")
	since := golden.Read(t, "served_since.json")
	write := golden.Read(t, "served_write.json")
	address := startPeer(t, func(connection net.Conn, line string) {
		calls.add(line)
		switch opOf(line) {
		case "follow":
			connection.Write(position)
			connection.Read(make([]byte, 1)) // until the caller disconnects
		case "since":
			connection.Write(since)
		case "write":
			connection.Write(write)
		}
	})
	controllers := DialControllers([]string{address}, nil)
	defer controllers.Close()
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	meta, err := controllers.Meta(ctx)
	require.NoError(t, err)
	assert.Equal(t, goldenMeta, meta)
	controllers.(*controllersClient).SetPosition(goldenKnown)
	page, err := controllers.Since(t.Context(), 11, 12)
	require.NoError(t, err)
	assert.Equal(t, goldenPage(), page)
	entries, meta, err := controllers.Write(t.Context(), "epoch-1", []record.Change{goldenChange()})
	require.NoError(t, err)
	assert.Equal(t, []record.Entry{goldenEntry()}, entries)
	assert.Equal(t, goldenMeta, meta)
	golden.Check(t, "controller_calls.jsonl", calls.bytes())
}

// fixedStore answers each call with the golden values and records the call.
type fixedStore struct {
	Store
	rejection error
	calls     []string
}

func (s *fixedStore) recordCall(format string, arguments ...any) {
	s.calls = append(s.calls, fmt.Sprintf(format, arguments...))
}

func (s *fixedStore) Meta(context.Context) (record.Meta, error) {
	s.recordCall("meta")
	return goldenMeta, nil
}

func (s *fixedStore) Since(_ context.Context, after int64, limit int) (record.Page, error) {
	s.recordCall("since %d, %d at most", after, limit)
	return goldenPage(), nil
}

func (s *fixedStore) Write(
	_ context.Context, epoch string, changes []record.Change,
) ([]record.Entry, record.Meta, error) {
	s.recordCall("write %s, as expected: %t", epoch, assert.ObjectsAreEqual([]record.Change{goldenChange()}, changes))
	if s.rejection != nil {
		return nil, record.Meta{}, s.rejection
	}
	return []record.Entry{goldenEntry()}, goldenMeta, nil
}

func (s *fixedStore) Wait(_ context.Context, timeout time.Duration) error {
	s.recordCall("wait %v", timeout)
	return nil
}

// fixedReplica sends two positions with a heartbeat between them, and then returns the error of a rollback.
type fixedReplica struct{ fixedStore }

func (s *fixedReplica) CheckFresh(_ context.Context, node record.Meta) error {
	s.recordCall("check fresh for %q %d", node.Epoch, node.Revision)
	return nil
}

func (s *fixedReplica) Watch(_ context.Context, notify func(*Position) error) error {
	for _, position := range []*Position{{Meta: goldenMeta, Age: 250}, nil, {Meta: goldenKnown}} {
		if err := notify(position); err != nil {
			return err
		}
	}
	return &remoteError{"what went wrong", record.ErrRolledBack}
}

// exchange serves a store, sends it a request line, and returns the complete answer.
func exchange(t *testing.T, served Store, line string) []byte {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var server sync.WaitGroup
	server.Go(func() { Serve(ctx, listener, served) })
	defer server.Wait()
	defer cancel()
	connection, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	require.NoError(t, connection.SetDeadline(time.Now().Add(answerTimeout)))
	_, err = io.WriteString(connection, line)
	require.NoError(t, err)
	answer, err := io.ReadAll(connection)
	require.NoError(t, err)
	return answer
}

// Checks the answers to request lines that a node built from commit 0cdd5b2 sends.
func TestGolden_Served(t *testing.T) {
	calls := map[string]string{
		"meta":  "meta",
		"since": "since 11, 12 at most",
		"write": "write epoch-1, as expected: true",
		"wait":  "wait 2.5s",
	}
	lines := goldenLines(t, "remote_calls.jsonl")
	require.Len(t, lines, len(calls))
	for _, line := range lines {
		op := opOf(line)
		if op == "wait" {
			line = timeLeftField.ReplaceAllString(line, `"left":3500000000`)
		}
		served := &fixedStore{}
		golden.Check(t, "served_"+op+".json", exchange(t, served, line))
		assert.Equal(t, []string{calls[op]}, served.calls)
	}
}

func TestGolden_ServedErrors(t *testing.T) {
	// Error texts are for people and may change, so the golden files contain texts of this test.
	for name, rejection := range map[string]error{
		"conflict": &remoteError{"what went wrong", goldenConflict()},
		"stale":    &remoteError{"what went wrong", goldenStale()},
		"fault":    &remoteError{"what went wrong", ErrBusy},
	} {
		line := goldenLines(t, "remote_calls.jsonl")[2]
		golden.Check(t, "served_"+name+".json", exchange(t, &fixedStore{rejection: rejection}, line))
	}
}

func TestGolden_ServedToFollowers(t *testing.T) {
	lines := goldenLines(t, "controller_calls.jsonl")
	require.Len(t, lines, 3)
	served := &fixedReplica{}
	golden.Check(t, "follow_stream.jsonl", exchange(t, served, lines[0]))
	golden.Check(t, "served_since.json", exchange(t, served, lines[1]))
	golden.Check(t, "served_write.json", exchange(t, served, lines[2]))
	assert.Equal(t, []string{
		`check fresh for "" 0`,
		`check fresh for "epoch-2" 42`,
		"since 11, 12 at most",
		"write epoch-1, as expected: true",
	}, served.calls)
}

// Checks the positions and the error that a node decodes from the answer to opFollow.
func TestGolden_FollowStream(t *testing.T) {
	stream := bufio.NewReaderSize(bytes.NewReader(golden.Read(t, "follow_stream.jsonl")), maxLineSize)
	for _, want := range []*Position{{Meta: goldenMeta, Age: 250}, nil, {Meta: goldenKnown}} {
		position, err := readPosition(stream)
		require.NoError(t, err)
		assert.Equal(t, want, position)
	}
	_, err := readPosition(stream)
	assert.ErrorIs(t, err, record.ErrRolledBack)
	assert.EqualError(t, err, "what went wrong")
	_, err = readPosition(stream)
	assert.ErrorIs(t, err, io.EOF)
}
