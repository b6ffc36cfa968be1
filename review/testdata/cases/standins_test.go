package cases_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server.
type server struct {
	listener net.Listener
	http     *http.Server
}

// startServer starts a server. handle answers its requests.
func startServer(handle http.HandlerFunc) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	failIf(err, "listen for a server")
	s := &server{listener: listener, http: &http.Server{Handler: handle}}
	s.http.ConnState = func(conn net.Conn, state http.ConnState) {
		if tcp, ok := conn.(*net.TCPConn); ok && state == http.StateNew {
			tcp.SetLinger(0) // a close resets, as the death of a process does
		}
	}
	go s.http.Serve(listener)
	return s
}

func (s *server) addr() string { return s.listener.Addr().String() }

// die resets all connections and refuses new ones.
func (s *server) die() { s.http.Close() }

// member is an entry of discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// message is one message of discovery.
type message struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is a stand-in for discovery: a call gets the whole list, and a watch each change after it.
type discovery struct {
	play     *play
	name     string
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	revision int
	members  []member
	last     member        // the latest change
	changed  chan struct{} // closed at each change
	told     []time.Duration
	refusing bool          // calls are answered 503
	late     time.Duration // before each answer begins
}

func startDiscovery(p *play, name string, revision int, members ...member) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	failIf(err, "listen for discovery")
	d := &discovery{
		play: p, name: name, listener: listener, revision: revision, members: members, changed: make(chan struct{}),
	}
	d.http = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.http.Serve(listener)
	return d
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

// refuse answers all calls 503 from now on, or answers them again.
func (d *discovery) refuse(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusing = on
}

// move takes no new connection from now on, and closes the open ones after 1.5 s.
func (d *discovery) move() {
	d.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() { d.http.Close() })
}

// setPhase changes a server's phase.
func (d *discovery) setPhase(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase = phase
			d.last = d.members[i]
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.play.note("%s has %s as %s", d.name, id, phase)
}

// restarted lists a server as ready and started anew.
func (d *discovery) restarted(id string, at time.Time) {
	d.mu.Lock()
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].UpSince = at.UnixMilli()
		}
	}
	d.mu.Unlock()
	d.setPhase(id, "ready")
}

// remove takes a server off the whole list. Open watches are not told.
func (d *discovery) remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.members = slices.DeleteFunc(d.members, func(m member) bool { return m.ID == id })
	d.play.note("%s does not list %s any more", d.name, id)
}

// toldAt returns when the latest change was first written to a watch, and whether it was.
func (d *discovery) toldAt() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.told) == 0 {
		return 0, false
	}
	return d.told[0], true
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	time.Sleep(d.late)
	d.mu.Lock()
	if d.refusing {
		d.mu.Unlock()
		d.play.note("%s refuses a call", d.name)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	revision, changed := d.revision, d.changed
	whole, _ := json.Marshal(message{Revision: revision, Complete: true, Members: d.members})
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("follow") != "1" {
		w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
		w.Write(whole)
		return
	}
	d.play.note("%s: a watch begins", d.name)
	flush := func(line []byte) error {
		_, err := w.Write(append(line, '\n'))
		w.(http.Flusher).Flush()
		return err
	}
	err := flush(whole)
	for err == nil {
		select {
		case <-r.Context().Done():
			d.play.note("%s: a watch ends", d.name)
			return
		case <-time.After(2 * time.Second):
			err = flush(nil)
		case <-changed:
			d.mu.Lock()
			text, _ := json.Marshal(message{Revision: d.revision, Members: []member{d.last}})
			changed = d.changed
			d.mu.Unlock()
			if err = flush(text); err == nil {
				d.mu.Lock()
				d.told = append(d.told, d.play.now())
				d.mu.Unlock()
				d.play.note("%s: written to a watch: %s", d.name, text)
			}
		}
	}
}

// newIDs returns a function that returns a new id with each call.
func newIDs(prefix string) func() string {
	var mu sync.Mutex
	n := 0
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		n++
		return fmt.Sprintf("%s%012x", prefix, n)
	}
}
