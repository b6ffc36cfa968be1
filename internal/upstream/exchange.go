package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"robincart/decide"
	"robincart/internal/httpwire"
	"robincart/internal/node"
)

// Start carries out a pick in a goroutine that Run waits for.
func (p *Pool) Start(pick *node.Pick, q *httpwire.Request) {
	p.out.Go(func() { p.Exchange(pick, q) })
}

// Exchange carries out one pick and tells the core how it ended, once. It never sends anything again.
func (p *Pool) Exchange(pick *node.Pick, q *httpwire.Request) {
	res, answer := p.exchange(pick, q)
	p.core.Done(pick, res, answer)
}

func (p *Pool) exchange(pick *node.Pick, q *httpwire.Request) (decide.Result, *node.Answer) {
	ctx, cancel := context.WithTimeout(pick.Context, p.core.Left(pick))
	defer cancel()

	addr, ready := p.core.Address(pick.Server)
	if !ready {
		return decide.Ignored, nil
	}
	c := p.reuse(pick.Server, addr)
	if c == nil {
		if !p.budget.Take() {
			return decide.Ignored, nil // no descriptor: the server is not to blame
		}
		dial, stop := context.WithTimeout(ctx, p.limits.Connect)
		raw, err := p.dialer.DialContext(dial, "tcp", addr)
		stop()
		if err != nil {
			p.budget.Give()
			return decide.ConnectFailed, nil
		}
		c = &conn{Conn: raw, addr: addr, reader: httpwire.NewReader(raw, p.limits.Wire)}
	}
	if !p.core.Begin(pick) {
		p.keep(pick.Server, c)
		return decide.Ignored, nil
	}

	c.SetDeadline(time.Time{}) // the last exchange's
	// A pick given up closes its connection: whatever waits on it returns at once.
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	res, answer, whole := p.talk(ctx, c, pick, q)
	if !release() || !whole {
		p.close(c)
	} else {
		p.keep(pick.Server, c)
	}
	return res, answer
}

// talk writes the request and reads the answer. The connection can be used again only after a whole one.
func (p *Pool) talk(ctx context.Context, c *conn, pick *node.Pick, q *httpwire.Request) (
	res decide.Result, answer *node.Answer, whole bool) {

	// One write: it is known whether its last byte went out.
	msg := net.Buffers{q.AppendHead(make([]byte, 0, 512), c.addr, p.core.Left(pick))}
	if len(q.Body) > 0 {
		msg = append(msg, q.Body)
	}
	if _, err := msg.WriteTo(c.Conn); err != nil {
		return p.broken(ctx, decide.ConnectFailed), nil, false
	}
	// Once an answer has begun its rest is due soon: one that is cut short on a connection that stays open, or whose
	// head does not end, would else hold its RPC until there is no time for another pick.
	r, err := c.reader.ReadResponse(func(begun bool) {
		until := time.Time{}
		if begun {
			until = time.Now().Add(p.limits.AnswerRest)
		}
		if c.SetReadDeadline(until); ctx.Err() != nil {
			c.SetDeadline(time.Unix(1, 0)) // given up just now: that deadline must not be put off
		}
	})
	switch {
	case err != nil && ctx.Err() == nil && (httpwire.Spoilt(err) || errors.Is(err, os.ErrDeadlineExceeded)):
		return decide.Failed, nil, false // by a process that lives, so no Reset
	case err != nil:
		return p.broken(ctx, decide.Reset), nil, false
	}
	whole = !r.Close && !c.reader.Beyond()
	switch {
	case r.Status == 200:
		return decide.OK, &node.Answer{Type: r.Type, Body: r.Body}, whole
	case (r.Status == 503 || r.Status == 504) && r.NeverRan:
		return decide.Full, nil, whole
	}
	return decide.Failed, nil, whole
}

// broken tells a connection that broke from one that this node gave up.
func (p *Pool) broken(ctx context.Context, res decide.Result) decide.Result {
	if err := ctx.Err(); err != nil && res == decide.Reset {
		if errors.Is(err, context.DeadlineExceeded) {
			return decide.TimedOut
		}
		return decide.Canceled
	}
	return res
}
