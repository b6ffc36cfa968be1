// Package limits holds every size, count and time that a node keeps to, and the budget of its descriptors.
package limits

import (
	"errors"
	"fmt"
	"math"
	"time"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/protocol/settings"
)

// Machine is what the configuration says of the node's machine.
type Machine struct {
	Cores    float64 `json:"cores" toml:"cores"`
	MemoryMB int     `json:"memory_mb" toml:"memory_mb"`
	Sockets  int     `json:"sockets" toml:"sockets"`
}

// Limits is filled once at start and handed down; nothing changes it later.
type Limits struct {
	Cores       int
	Memory      int64 // bytes that Go's collector keeps to
	Descriptors int   // for callers, servers and discovery together
	Bytes       int64 // for bodies and answers beyond the buffers that each place has
	Callers     int   // requests of callers in the making at once; each has a connection on either side
	Refused     int   // further connections, on which callers are told at once that the node is full
	Connections int   // of callers at most, those that rest included
	Large       int   // of Callers, those whose body is passed on as it comes: they last, and small ones have to get through

	Wire      httpwire.Sizes // of messages
	ListBytes int            // of one line of the list

	TakeAgain    time.Duration // after a connection could not be taken
	CallerIdle   time.Duration // between requests
	CallerRest   time.Duration // between requests before a connection may give way to another
	CallerLong   time.Duration // between requests before it does as soon as one is needed
	LastLook     time.Duration // at a connection that ends, for a request that crossed
	CallerRead   time.Duration // from a request's first byte, or the connect, to its last
	CallerLook   time.Duration // that the kernel's word of a caller counts: an attempt that begins later looks whether it still waits
	ComeBack     time.Duration // what a caller is told when the node is full
	CallerWrite  time.Duration // for an answer
	CallerTakes  time.Duration // that a caller may take nothing of a large one
	Rate         int           // bytes a second that a message has to come at least, in the long run
	CallerLinger time.Duration // for what follows a request that could not be read
	LingerBytes  int           // of that
	MostLeft     time.Duration // that a caller may say it waits
	IDLife       time.Duration // that the id of an ended request is known
	IDs          int           // known of those at most, twice

	Connect    time.Duration // to a server
	AnswerRest time.Duration // from an answer's first byte to its last, and more for what is large
	// AnswerBehind is how long a server's connection rests after an answer: what comes behind that is not the next one's.
	AnswerBehind time.Duration
	// AnswerSilence is how long an answer that is being passed on may bring nothing, ServerTakes how long a server may take
	// nothing of a request.
	AnswerSilence, ServerTakes time.Duration
	ServerIdle                 time.Duration // after which a server's connection is closed
	Sweep                      time.Duration // between looks at the idle ones

	ListConnect time.Duration
	// ListTold is how long a change may take from when discovery had it and could be reached: from then on it binds the node.
	ListTold    time.Duration
	ListFirst   time.Duration // for the first word of a watch, before another call is opened beside it
	ListEvery   time.Duration // from the last word, or a call's begin, to the begin of the next call, at most
	ListAgain   time.Duration // from the end of a watch to the begin of the next call, at most
	ListSilence time.Duration // between messages: an empty line comes every 2 s

	ClassLeaves time.Duration // after it was dropped from the settings a class is taken for as long

	StopTaking time.Duration // after SIGTERM new connections may come for as long
	StopMost   time.Duration // after SIGTERM what is still out is aborted
	StopWrite  time.Duration // for the last answers
}

const (
	ownFiles   = 10 // standard streams, the poller, the listener, and some to spare
	refusedMax = 32
	placeBytes = 32 << 10
	mb         = 1 << 20

	// SIGKILL may come 0.7 s after the longest deadline, and 3 s of that are the most it waits for.
	stopLongest = 3 * time.Second
	stopSpare   = 450 * time.Millisecond

	listSpare = 250 * time.Millisecond // for clocks, connects and the list itself
	// A watch may end instead of telling a change: that binds so long after its end, and half of it is for the call that brings it.
	listEnded = 2 * time.Second
)

// Fill makes the limits of a node from its machine and its settings.
func Fill(m Machine, s *settings.Instance) (Limits, error) {
	switch {
	case !(m.Cores > 0) || m.Cores > 1024:
		return Limits{}, fmt.Errorf("limits.cores is %v", m.Cores)
	case m.MemoryMB < 16:
		return Limits{}, fmt.Errorf("limits.memory_mb is %d: a node needs 16 at least", m.MemoryMB)
	case m.Sockets < 2*ownFiles:
		return Limits{}, fmt.Errorf("limits.sockets is %d: a node needs %d at least", m.Sockets, 2*ownFiles)
	}
	l := Limits{
		Cores: int(math.Ceil(m.Cores)),
		// The collector works harder near its limit; stacks and the program itself need the rest.
		Memory:      int64(m.MemoryMB) * mb * 7 / 10,
		Descriptors: m.Sockets - ownFiles,
		Wire: httpwire.Sizes{
			Buffer: 2 << 10,
			Read:   512,
			Head:   16 << 10,
			Body:   64 << 10,
			Stream: 32 << 20,
			Begin:  4 << 10,
			Chunk:  256,
		},
		ListBytes:  4 * mb,
		TakeAgain:  5 * time.Millisecond,
		CallerIdle: 90 * time.Second,
		CallerRest: 100 * time.Millisecond,
		CallerLong: 2 * time.Second,
		LastLook:   5 * time.Millisecond,
		CallerRead: 2500 * time.Millisecond,
		// Once a caller has gone for 0.1 s no attempt may begin. What is left of that is for the way to the server.
		CallerLook:    25 * time.Millisecond,
		ComeBack:      500 * time.Millisecond,
		CallerWrite:   2 * time.Second,
		CallerTakes:   30 * time.Second,
		Rate:          32 << 10,
		CallerLinger:  300 * time.Millisecond,
		LingerBytes:   256 << 10,
		MostLeft:      time.Hour,
		IDs:           16 << 10,
		Connect:       time.Second,
		AnswerRest:    500 * time.Millisecond,
		AnswerBehind:  10 * time.Millisecond,
		AnswerSilence: 10 * time.Second,
		ServerTakes:   10 * time.Second,
		ServerIdle:    20 * time.Second,
		Sweep:         500 * time.Millisecond,
		ListConnect:   1500 * time.Millisecond,
		ListTold:      6 * time.Second,
		ListSilence:   2500 * time.Millisecond,
		ClassLeaves:   3 * time.Second,
		StopTaking:    600 * time.Millisecond,
		StopWrite:     100 * time.Millisecond,
	}
	// What a call may wait for is what a watch may be silent for. The call that brings the news has to begin so early that it may
	// wait as long, too; what is left between the two is the longest pause, and the longer the sooner the call before it failed.
	l.ListFirst = l.ListSilence
	l.ListEvery = l.ListTold - l.ListFirst - listSpare
	l.ListAgain = listEnded / 2
	// Every RPC needs a connection on either side, a second copy one more and discovery one: callers get
	// under a half.
	l.Refused = min(refusedMax, l.Descriptors/8)
	l.Callers = (l.Descriptors - l.Refused - 1) * 10 / 21
	if s.MaxInFlight > 0 {
		l.Callers = min(l.Callers, s.MaxInFlight)
	}
	if l.Callers < 1 {
		return Limits{}, errors.New("limits.sockets leaves no caller a connection")
	}
	l.Connections = l.Callers + l.Refused
	// Half of the memory is for bodies and answers, a quarter for what each request in the making has beside them: stacks,
	// buffers, and a piece either way where it is large. Connections beyond that rest, or wait with their bytes in the kernel.
	l.Bytes = l.Memory / 2
	l.Callers = max(1, min(l.Callers, int(l.Memory/4)/placeBytes))
	l.Large = max(1, l.Callers/2)
	l = l.For(s)
	longest := 0.0
	for _, m := range s.Methods {
		longest = max(longest, m.Deadline)
	}
	l.IDLife = settings.Milliseconds(longest * 1000) // no server knows a request for longer
	l.StopMost = min(settings.Milliseconds(longest*1000), stopLongest) + stopSpare
	return l, nil
}

// Slowest is how long so many bytes may take to come.
func (l *Limits) Slowest(bytes int) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.Rate) * float64(time.Second))
}

// For are the limits with one service's own times towards its servers.
func (l Limits) For(s *settings.Instance) Limits {
	if s.ConnectTimeout > 0 {
		l.Connect = s.ConnectTimeout
	}
	if s.ServerIdleTimeout > 0 {
		// The server's clock starts with its answer and ours when that has come: a request must not cross the
		// close.
		l.ServerIdle = s.ServerIdleTimeout - min(time.Second, s.ServerIdleTimeout/4)
	}
	return l
}

// Hold are the limits of a node that holds many connections, of which few bring a request at a time. Zeros leave what is.
func (l Limits) Hold(connections, requests int, idle time.Duration) (Limits, error) {
	if requests < 0 || connections < 0 || idle < 0 {
		return l, errors.New("callers: connections, requests and idle must not be negative")
	}
	if idle > 0 {
		l.CallerIdle = max(idle, l.CallerLong)
	}
	if requests > 0 {
		if most := (l.Descriptors - l.Refused - 1) * 10 / 21; requests > most {
			return l, fmt.Errorf("callers.requests: %d need a connection on either side and some to spare; machine.sockets leaves %d", requests, most)
		}
		l.Callers, l.Large = requests, max(1, requests/2)
		l.Connections = l.Callers + l.Refused
	}
	if connections > 0 {
		// A second copy of every tenth, and discovery.
		most := l.Descriptors - l.Callers*11/10 - 1
		switch {
		case connections > most:
			return l, fmt.Errorf("callers.connections: machine.sockets leaves %d beside the servers' for %d requests at once", most, l.Callers)
		case connections < l.Callers+l.Refused:
			return l, fmt.Errorf("callers.connections: %d requests at once and those told that the node is full need %d", l.Callers, l.Callers+l.Refused)
		}
		l.Connections = connections
	}
	return l, nil
}
