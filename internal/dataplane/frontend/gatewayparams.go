package frontend

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"

	"robincart/internal/protocol/fcgi"
	"robincart/internal/protocol/httpwire"
)

const (
	headerParamPrefix = "HTTP_" // prefix of the params that CGI derives from headers
	// maxLinearParams is the largest number of params that are searched one by one for a name. If a request has more
	// params, a map is used.
	maxLinearParams = 64
)

// param is a param of a request. Its fields are slices of the received list of params.
type param struct{ name, value []byte }

// droppedParams are the params of headers that would delimit the message or that concern only the connection. They are
// dropped, since FastCGI already delimits the message.
var droppedParams = map[string]bool{
	"HTTP_CONTENT_LENGTH":    true,
	"HTTP_TRANSFER_ENCODING": true,
	"HTTP_CONNECTION":        true,
	"HTTP_EXPECT":            true,
	"HTTP_UPGRADE":           true,
	"HTTP_TE":                true,
	"HTTP_TRAILER":           true,
	"HTTP_KEEP_ALIVE":        true,
	"HTTP_PROXY":             true,
	"HTTP_CONTENT_TYPE":      true,
}

// knownField is an HTTP header that the node uses, and the name of the param that CGI defines for that header.
type knownField struct{ header, param string }

var knownFields = [...]knownField{
	{httpwire.HeaderTraceID, "HTTP_X_TRACE_ID"},
	{httpwire.HeaderMethod, "HTTP_X_QOS"},
	{httpwire.HeaderTenant, "HTTP_X_CUSTOMER"},
	{httpwire.HeaderIdempotencyKey, "HTTP_IDEMPOTENCY_KEY"},
	{httpwire.HeaderTimeLeft, "HTTP_X_EXPIRES_IN_MS"},
	{"Host", "HTTP_HOST"},
	{"Content-Type", "CONTENT_TYPE"},
}

// customParam returns the name of the configured param that takes precedence over the CGI param of a known field;
// empty: none. field is the index in knownFields.
func (g *Gateway) customParam(field int) string {
	custom := [len(knownFields)]string{
		g.TraceParam, g.MethodParam, g.TenantParam, g.IdempotencyKeyParam, g.TimeLeftParam,
	}
	return custom[field]
}

// parseParams splits the list of params. It rejects a value with a control byte, which could end a header line. It also
// rejects a name with two different values.
func (g *gateway) parseParams(list []byte) error {
	g.params = g.params[:0]
	var seen map[string][]byte // values by name; nil while there are at most maxLinearParams params
	for len(list) > 0 {
		name, value, rest, err := fcgi.Pair(list)
		if err != nil {
			return err
		}
		list = rest
		if hasControlByte(value) {
			return malformedParam("expected text, found a control byte in the value of param", name)
		}
		value = bytes.Trim(value, " \t")
		earlier, known := g.lookUpParam(seen, name)
		switch {
		case seen != nil && !known:
			seen[string(name)] = value
		case seen == nil && len(g.params) == maxLinearParams:
			// TODO: this param is missing in the index, so a second value of its name is not detected.
			seen = g.indexParams()
		}
		if known && !bytes.Equal(earlier, value) {
			return malformedParam("expected one value, found two different ones of param", name)
		}
		if known {
			continue
		}
		g.params = append(g.params, param{name, value})
	}
	return nil
}

func malformedParam(problem string, name []byte) error {
	return fmt.Errorf("%w: %s %.60q", httpwire.ErrMalformed, problem, name)
}

func hasControlByte(value []byte) bool {
	const del = 0x7f
	for _, b := range value {
		if b < ' ' && b != '\t' || b == del {
			return true
		}
	}
	return false
}

func (g *gateway) indexParams() map[string][]byte {
	index := make(map[string][]byte, 4*maxLinearParams)
	for _, p := range g.params {
		index[string(p.name)] = p.value
	}
	return index
}

// lookUpParam returns the value of a param that was parsed before. It looks in the index or, if the index is nil, in
// g.params.
func (g *gateway) lookUpParam(index map[string][]byte, name []byte) ([]byte, bool) {
	if index != nil {
		value, ok := index[string(name)]
		return value, ok
	}
	return g.findParam(string(name))
}

func (g *gateway) findParam(name string) ([]byte, bool) {
	for _, p := range g.params {
		if string(p.name) == name {
			return p.value, true
		}
	}
	return nil, false
}

func (g *gateway) paramValue(name string) []byte {
	value, _ := g.findParam(name)
	return value
}

// appendRequestHead translates params to the head of an HTTP/1.1 request.
func (g *gateway) appendRequestHead(list []byte) error {
	defer func() { clear(g.params) }()
	if err := g.parseParams(list); err != nil {
		return err
	}
	defaultMethod, err := g.appendRequestLine()
	if err != nil {
		return err
	}
	if g.contentLength, err = g.parseContentLength(); err != nil {
		return err
	}
	g.pending = append(g.pending, "Transfer-Encoding: chunked\r\n"...)
	g.appendKnownFields(defaultMethod)
	g.appendOtherHeaders()
	g.pending = append(g.pending, "\r\n"...)
	return nil
}

// appendRequestLine appends the request line. It returns the first segment of the path, which is the default value of
// the header X-Qos.
func (g *gateway) appendRequestLine() (defaultMethod []byte, err error) {
	verb := g.paramValue("REQUEST_METHOD")
	lineStart := len(g.pending)
	g.pending = append(g.pending, verb...)
	g.pending = append(g.pending, ' ')
	targetStart := len(g.pending)
	g.appendTarget()
	target := g.pending[targetStart:]
	if len(verb) == 0 || bytes.ContainsAny(verb, " \t") || bytes.ContainsAny(target, " \t") {
		return nil, fmt.Errorf("%w: expected REQUEST_METHOD and a target, both without blanks, found %.60q",
			httpwire.ErrMalformed, g.pending[lineStart:])
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	first, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	g.scratch = append(g.scratch[:0], first...) // a copy, since appending may reallocate pending
	g.pending = append(g.pending, " HTTP/1.1\r\n"...)
	return g.scratch, nil
}

func (g *gateway) appendTarget() {
	if uri := g.paramValue("REQUEST_URI"); len(uri) > 0 {
		g.pending = append(g.pending, uri...)
		return
	}
	g.pending = append(g.pending, g.paramValue("SCRIPT_NAME")...)
	g.pending = append(g.pending, g.paramValue("PATH_INFO")...)
	if query := g.paramValue("QUERY_STRING"); len(query) > 0 {
		g.pending = append(g.pending, '?')
		g.pending = append(g.pending, query...)
	}
}

// parseContentLength returns the length of the body, or -1 if the params do not contain it.
func (g *gateway) parseContentLength() (int64, error) {
	const decimal, bits = 10, 62
	text := g.paramValue("CONTENT_LENGTH")
	if len(text) == 0 {
		return -1, nil
	}
	length, err := strconv.ParseUint(string(text), decimal, bits)
	if err != nil {
		return -1, fmt.Errorf("%w: expected CONTENT_LENGTH to be a decimal number below 2^62, found %.60q",
			httpwire.ErrMalformed, text)
	}
	return int64(length), nil
}

func (g *gateway) appendKnownFields(defaultMethod []byte) {
	for i, field := range knownFields {
		value := g.paramValue(field.param)
		if custom := g.config.customParam(i); custom != "" {
			if customValue := g.paramValue(custom); len(customValue) > 0 {
				value = customValue
			}
		}
		if len(value) == 0 {
			value = g.defaultValue(field.header, defaultMethod)
		}
		if len(value) > 0 {
			g.pending = append(g.pending, field.header...)
			g.appendFieldValue(value)
		}
	}
}

// appendOtherHeaders appends the headers that are not in knownFields. Routes may match these headers. They are not
// forwarded to servers.
func (g *gateway) appendOtherHeaders() {
	for _, p := range g.params {
		if !isHeaderParam(p.name) || len(p.value) == 0 || droppedParams[string(p.name)] || isKnownParam(p.name) {
			continue
		}
		g.pending = appendHeaderName(g.pending, p.name)
		g.appendFieldValue(p.value)
	}
}

func (g *gateway) appendFieldValue(value []byte) {
	g.pending = append(g.pending, ": "...)
	g.pending = append(g.pending, value...)
	g.pending = append(g.pending, "\r\n"...)
}

// defaultValue returns the default value of a known field that the gateway has not sent; nil: there is no default.
func (g *gateway) defaultValue(header string, defaultMethod []byte) []byte {
	switch header {
	case httpwire.HeaderTraceID: // a random ID suffices, since a gateway without IDs can't send a duplicate ID
		return fmt.Appendf(nil, "%016x%016x", rand.Uint64(), rand.Uint64())
	case httpwire.HeaderMethod:
		return defaultMethod
	case httpwire.HeaderTenant:
		return []byte(g.config.DefaultTenant)
	case httpwire.HeaderTimeLeft:
		if g.config.DefaultTimeLeft > 0 {
			return strconv.AppendInt(nil, g.config.DefaultTimeLeft.Milliseconds(), 10)
		}
	}
	return nil
}

// isKnownParam reports whether CGI defines the param for a known field.
func isKnownParam(name []byte) bool {
	for _, field := range knownFields {
		if string(name) == field.param {
			return true
		}
	}
	return false
}

// isHeaderParam reports whether a param has a name that CGI derives from the name of a header. Any other name may
// contain bytes that would end the header line.
func isHeaderParam(name []byte) bool {
	if !bytes.HasPrefix(name, []byte(headerParamPrefix)) || len(name) == len(headerParamPrefix) {
		return false
	}
	for _, b := range name {
		if b != '_' && (b < 'A' || b > 'Z') && (b < '0' || b > '9') {
			return false
		}
	}
	return true
}

// appendHeaderName appends the name of the header that CGI has derived a param from, with the usual capitals: X-Any for
// HTTP_X_ANY.
func appendHeaderName(to, param []byte) []byte {
	wordStart := true
	for _, b := range param[len(headerParamPrefix):] {
		switch {
		case b == '_':
			b = '-'
		case !wordStart && b >= 'A' && b <= 'Z':
			b += 'a' - 'A'
		}
		to = append(to, b)
		wordStart = b == '-'
	}
	return to
}
