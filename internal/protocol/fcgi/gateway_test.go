package fcgi

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readEvents reads what an application writes for request 1, byte by byte, up to an error. It returns the events in
// their order.
func readEvents(t *testing.T, text string) (events []string, open int, err error) {
	t.Helper()
	reader, gateway := &Reader{}, &Gateway{}
	reader.Init(iotest.OneByteReader(bytes.NewReader(parseHex(text))), make([]byte, MinBuffer))
	id, ok := gateway.Begin()
	require.True(t, ok)
	require.Equal(t, uint16(1), id)
	for {
		piece, err := reader.Next()
		if err != nil {
			return events, gateway.Open(), err
		}
		event, err := gateway.Take(piece)
		if err != nil {
			return events, gateway.Open(), err
		}
		switch event.Kind {
		case EventStdout:
			events = append(events, "stdout "+string(event.Data))
		case EventStderr:
			events = append(events, "stderr "+string(event.Data))
		case EventEnd:
			events = append(events, fmt.Sprintf("end %d %d", event.AppStatus, event.Status))
		}
	}
}

const (
	stdout    = "01 06 0001 0001 00 00 61 "
	stdoutEnd = "01 06 0001 0000 00 00 "
	end       = "01 03 0001 0008 00 00 00000007 00 000000 "
)

func TestGateway_Response(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"a response":                 {stdout + stdoutEnd + end, []string{"stdout a", "end 7 0"}},
		"END also ends the response": {stdout + end, []string{"stdout a", "end 7 0"}},
		"END alone":                  {end, []string{"end 7 0"}},
		"overloaded":                 {"01 03 0001 0008 00 00 00000000 02 000000", []string{"end 0 2"}},
		"messages": {
			"01 07 0001 0003 00 00 657272" + stdout + "01 07 0001 0000 00 00" + end,
			[]string{"stderr e", "stderr r", "stderr r", "stdout a", "end 7 0"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			events, open, err := readEvents(t, c.text)
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, c.want, events)
			assert.Zero(t, open)
		})
	}
}

// What ends a connection, since it can't be the application's response.
func TestGateway_FramingError(t *testing.T) {
	for name, text := range map[string]string{
		"STDOUT after its end":         stdoutEnd + stdout,
		"STDOUT after END":             end + stdout,
		"another request's ID":         "01 06 0002 0001 00 00 61",
		"an unknown status":            "01 03 0001 0008 00 00 00000000 04 000000",
		"STDIN from an application":    "01 05 0001 0001 00 00 61",
		"a response without a request": "01 06 0000 0001 00 00 61",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := readEvents(t, text)
			assert.ErrorIs(t, err, ErrFraming)
		})
	}
}

func FuzzGateway(f *testing.F) {
	f.Add(parseHex("01 06 0001 0001 00 00 61 01 03 0001 0008 00 00 00000007 00 000000"))
	f.Fuzz(func(t *testing.T, text []byte) {
		const requests = 3
		reader, gateway, ended := &Reader{}, &Gateway{}, map[uint16]bool{}
		reader.Init(bytes.NewReader(text), make([]byte, MinBuffer))
		for range requests {
			gateway.Begin()
		}
		for {
			piece, err := reader.Next()
			if err != nil {
				return
			}
			event, err := gateway.Take(piece)
			if err != nil {
				return
			}
			if event.ID > requests || ended[event.ID] {
				t.Fatalf("%+v is of no request", event)
			}
			ended[event.ID] = event.Kind == EventEnd
		}
	})
}
