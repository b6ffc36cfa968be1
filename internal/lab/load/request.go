package load

import (
	"strconv"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/plan"
	"robincart/internal/lab/wire"
)

// zeros is what bodies are made of.
var zeros [64 << 10]byte

// appendRequest appends an attempt's request.
func (a *attempt) appendRequest(b []byte) []byte {
	hasBody := a.method().Idempotency != judge.Idempotent
	b = a.appendRequestLine(b)
	b = a.appendHeaders(b)
	if !hasBody {
		return append(b, "\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendUint(b, uint64(a.arrival.Body), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, zeros[:a.arrival.Body]...)
}

// appendRequestLine appends the request line. Its query states the work that the request is for a server.
func (a *attempt) appendRequestLine(b []byte) []byte {
	method := a.method()
	if method.Idempotency == judge.Idempotent {
		b = append(b, "GET /"...)
	} else {
		b = append(b, "POST /"...)
	}
	b = append(b, method.Name...)
	b = appendWork(b, a.arrival)
	return append(b, " HTTP/1.1\r\n"...)
}

// appendWork appends the query of a request's target.
func appendWork(b []byte, arrival *plan.Arrival) []byte {
	b = append(b, "/t?k="...)
	b = strconv.AppendUint(b, uint64(arrival.Key), 10)
	if arrival.Work > 0 {
		b = append(b, "&w="...)
		b = strconv.AppendFloat(b, float64(arrival.Work), 'f', 3, 32)
	}
	if arrival.Wait > 0 {
		b = append(b, "&i="...)
		b = strconv.AppendFloat(b, float64(arrival.Wait), 'f', 3, 32)
	}
	return b
}

// appendHeaders appends the headers, but for the body's.
func (a *attempt) appendHeaders(b []byte) []byte {
	e, method := a.lane.engine, a.method()
	b = appendHeader(b, "Host", method.Host)
	b = append(b, wire.HeaderTraceID+": "...)
	b = wire.ID{Call: a.Call, Try: a.N}.Append(b)
	b = append(b, "\r\n"...)
	b = appendHeader(b, wire.HeaderMethod, method.Name)
	if len(e.Tenants) > 0 {
		b = appendHeader(b, wire.HeaderTenant, e.Tenants[a.Tenant])
	}
	b = append(b, wire.HeaderTimeLeft+": "...)
	b = strconv.AppendInt(b, max(1, (a.Deadline-e.now()).Milliseconds()), 10)
	b = append(b, "\r\n"...)
	if a.N > 0 && e.Clients.MarkRetries {
		b = appendHeader(b, wire.HeaderRetry, "1")
	}
	if method.Idempotency == judge.Deduplicated {
		b = append(b, wire.HeaderIdempotencyKey+": "...)
		b = wire.ID{Call: a.Call}.Append(b)
		b = append(b, "\r\n"...)
	}
	return b
}

// appendHeader appends a header.
func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
