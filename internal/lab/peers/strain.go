package peers

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// StrainKind is what a client sends whose requests cost a node as much as possible for their bytes.
type StrainKind string

// The kinds of straining clients.
const (
	StrainSmallChunks    StrainKind = "chunks of one byte without end"
	StrainExtensions     StrainKind = "chunks of one byte with long extensions"
	StrainByteSegments   StrainKind = "body one byte a segment"
	StrainHeadSegments   StrainKind = "head of many fields one byte a segment"
	StrainStoppedFields  StrainKind = "many short fields and a body that stops"
	StrainOddFields      StrainKind = "many unusual fields again and again"
	StrainEndlessTrailer StrainKind = "trailers without end"
	StrainByteTrailers   StrainKind = "trailers behind a chunked body"
	StrainUnreadAnswers  StrainKind = "200 requests for 1 MB and nothing read"
)

// StrainKinds are all kinds of straining clients.
var StrainKinds = []StrainKind{
	StrainSmallChunks, StrainExtensions, StrainByteSegments, StrainHeadSegments, StrainStoppedFields, StrainOddFields,
	StrainEndlessTrailer, StrainByteTrailers, StrainUnreadAnswers,
}

const (
	// strainFields is how many short fields fill a head of 16 KB.
	strainFields = 2700
	// strainRepeat is how many small pieces a client writes at once.
	strainRepeat = 2000
	// strainBody is a body that a node reads with its head.
	strainBody = 65_000
	// strainLargeAnswer and strainPipelined are the size and the number of answers of StrainUnreadAnswers.
	strainLargeAnswer, strainPipelined = 1 << 20, 200
	// strainHoldTime is how long a client holds its connection when it has written all.
	strainHoldTime = 2 * time.Second
	// strainWriteTimeout bounds one write.
	strainWriteTimeout = 3 * time.Second
)

// strainText is what a straining client writes on one connection.
type strainText struct {
	first   string
	repeat  string // written again and again behind first; empty: nothing is
	segment int    // bytes of a write of first; 0: it is written at once
	unread  bool   // the client reads nothing
}

// Strain plays a straining client until the channel is closed: one connection after another.
func Strain(kind StrainKind, request Request, stop <-chan struct{}) {
	for !closed(stop) {
		conn, err := net.DialTimeout("tcp", request.Addr, dialTimeout)
		if err != nil {
			time.Sleep(pieceInterval)
			continue
		}
		kind.text(request).write(conn, stop)
		conn.Close()
	}
}

// write writes the text, and holds the connection until the node closes it or strainHoldTime is over.
func (s strainText) write(conn net.Conn, stop <-chan struct{}) {
	ended := make(chan struct{})
	if !s.unread {
		go func() {
			defer close(ended)
			io.Copy(io.Discard, conn)
		}()
	}
	segment := s.segment
	if segment == 0 {
		segment = len(s.first)
	}
	for rest := s.first; rest != ""; {
		n := min(segment, len(rest))
		if closed(stop) || !writeInTime(conn, rest[:n]) {
			return
		}
		rest = rest[n:]
	}
	for s.repeat != "" {
		if closed(stop) || !writeInTime(conn, s.repeat) {
			return
		}
	}
	select {
	case <-ended:
	case <-stop:
	case <-time.After(strainHoldTime):
	}
}

func writeInTime(conn net.Conn, text string) bool {
	conn.SetWriteDeadline(time.Now().Add(strainWriteTimeout))
	_, err := io.WriteString(conn, text)
	return err == nil
}

// text returns what a client writes on its next connection.
func (k StrainKind) text(request Request) strainText {
	request.ID = ""
	switch k {
	case StrainSmallChunks:
		return strainText{first: chunkedHead(request), repeat: strings.Repeat("1\r\nx\r\n", strainRepeat)}
	case StrainExtensions:
		chunk := "1;" + strings.Repeat("e", 200) + "\r\nx\r\n"
		return strainText{first: chunkedHead(request), repeat: strings.Repeat(chunk, strainRepeat/10)}
	case StrainByteSegments:
		request.Size = strainBody
		return strainText{first: request.Head() + strings.Repeat("x", strainBody), segment: 1}
	case StrainHeadSegments:
		request.Fields = strainFields
		return strainText{first: request.Head(), segment: 1}
	case StrainStoppedFields:
		request.Fields, request.Size = strainFields, strainBody
		return strainText{first: request.Head() + strings.Repeat("x", strainBody/2)}
	case StrainOddFields:
		return strainText{repeat: unusualHeads(request)}
	case StrainEndlessTrailer:
		trailers := strings.Repeat("a:\r\n", strainRepeat)
		return strainText{first: chunkedHead(request) + "1\r\nx\r\n0\r\n", repeat: trailers}
	case StrainByteTrailers:
		body := fmt.Sprintf("%x\r\n%s\r\n0\r\n", strainBody/2, strings.Repeat("x", strainBody/2))
		return strainText{first: chunkedHead(request) + body + strings.Repeat("a:\r\n", 2*strainRepeat) + "\r\n"}
	default:
		request.Behavior.Size = strainLargeAnswer
		var requests strings.Builder
		for range strainPipelined {
			request.ID = ""
			requests.WriteString(request.Head())
		}
		return strainText{first: requests.String(), unread: true}
	}
}

func chunkedHead(request Request) string {
	request.Size, request.Framing = strainBody, Chunked
	return request.Head()
}

// unusualHeads are sound requests with many fields whose names are unusual.
func unusualHeads(request Request) string {
	const heads = 8
	var text strings.Builder
	for range heads {
		request.ID = ""
		fields := strings.TrimSuffix(request.Head(), "\r\n")
		text.WriteString(fields)
		for i := range strainFields {
			text.WriteString(shortName(i) + ":\r\n")
		}
		text.WriteString("_:\r\n\r\n")
	}
	return text.String()
}
