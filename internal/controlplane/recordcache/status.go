package recordcache

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"robincart/internal/protocol/httpwire"
	"robincart/internal/record/record"
	"robincart/internal/system/socket"
)

// Status is the content of the status page. Its JSON keys must not change: operators' tools read them.
type Status struct {
	Store                string           `json:"store"`
	SyncState            string           `json:"standing"`
	Error                string           `json:"fault,omitempty"`
	Epoch                string           `json:"epoch"`
	Revision             int64            `json:"revision"`
	SecondsSinceContact  float64          `json:"heard_seconds_ago"`    // -1: never
	Pending              int              `json:"waiting"`              // changes waiting to be written
	Dropped              int              `json:"dropped"`              // observations that did not fit into the queue
	Written              int              `json:"written"`              // changes that the store wrote or rejected
	SecondsSinceSnapshot float64          `json:"snapshot_seconds_ago"` // -1: never
	Entries              int              `json:"facts"`
	Draining             []DrainingServer `json:"drained"`
	Invalid              []string         `json:"not_in_force,omitempty"` // errors of invalid entries
	Required             bool             `json:"required"`
	MaxStaleness         string           `json:"most_age"`
	MaxPending           int              `json:"queue"` // maximum number of pending changes, not counting drains
}

// DrainingServer is a server that gets no new requests because of an entry of the record.
type DrainingServer struct {
	Server string `json:"server"` // SERVICE/SERVER
	Reason string `json:"why"`
}

// Status returns the cache's state.
func (c *Cache) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{
		Store:                c.config.Store,
		SyncState:            c.view.SyncState.String(),
		Error:                c.storeError,
		Epoch:                c.view.Meta.Epoch,
		Revision:             c.view.Meta.Revision,
		SecondsSinceContact:  c.secondsSinceContact(),
		Pending:              c.view.PendingCount(),
		Dropped:              c.view.Dropped,
		Written:              c.written,
		SecondsSinceSnapshot: c.secondsSinceSnapshot(),
		Entries:              c.entryCount(),
		Draining:             c.drainingServers(),
		Invalid:              c.invalid,
		Required:             c.config.Required,
		MaxStaleness:         c.config.MaxStaleness.String(),
		MaxPending:           c.config.MaxPending,
	}
}

func (c *Cache) secondsSinceContact() float64 {
	if c.view.LastContact == 0 {
		return -1
	}
	return c.now().Sub(time.UnixMilli(c.view.LastContact)).Seconds()
}

func (c *Cache) secondsSinceSnapshot() float64 {
	if c.savedAt.IsZero() {
		return -1
	}
	return c.now().Sub(c.savedAt).Seconds()
}

func (c *Cache) entryCount() int {
	count := 0
	for _, kind := range record.Kinds {
		count += len(c.view.Entries(kind))
	}
	return count
}

func (c *Cache) drainingServers() []DrainingServer {
	draining := []DrainingServer{}
	for service, subscription := range c.subscriptions {
		for _, server := range c.view.Servers(subscription.list, c.millis()) {
			if server.Reason != "" {
				draining = append(draining, DrainingServer{Server: service + "/" + server.ID, Reason: server.Reason})
			}
		}
	}
	return draining
}

const (
	statusPath       = "/record"
	maxStatusClients = 8 // connections served at the same time; further connections wait
	statusTimeout    = 2 * time.Second
	maxAcceptDelay   = 10 * time.Millisecond
)

// statusSizes are the limits of a request for the status page, in bytes.
var statusSizes = httpwire.Sizes{BufferSize: 1024, ReadSize: 256, MaxHead: 4096, MaxBody: 0, MaxChunkLine: 64}

// ServeStatus serves the status page until the listener is closed. It does not use net/http, which would take 1 MB of
// the node's memory.
func (c *Cache) ServeStatus(listener net.Listener) {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	slots := make(chan struct{}, maxStatusClients)
	backoff := socket.NewAcceptBackoff(maxAcceptDelay)
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(backoff.Failed())
			continue
		}
		backoff.Succeeded()
		slots <- struct{}{}
		handlers.Go(func() {
			defer func() { <-slots }()
			defer connection.Close()
			c.handleStatus(connection)
		})
	}
}

// handleStatus answers one request to the status page.
func (c *Cache) handleStatus(connection net.Conn) {
	connection.SetDeadline(time.Now().Add(statusTimeout))
	request, err := httpwire.NewReader(connection, statusSizes).ReadRequest()
	response := httpwire.ClientResponse{Status: http.StatusNotFound, Close: true}
	switch {
	case err != nil:
		response.Status = http.StatusBadRequest
	case request.Path == statusPath && request.Verb == "GET":
		response = c.statusResponse()
	}
	connection.Write(append(response.AppendHead(nil), response.Body...))
}

func (c *Cache) statusResponse() httpwire.ClientResponse {
	body, err := json.MarshalIndent(c.Status(), "", "  ")
	if err != nil {
		return httpwire.ClientResponse{Status: http.StatusInternalServerError, Close: true}
	}
	return httpwire.ClientResponse{
		Status:      http.StatusOK,
		ContentType: "application/json",
		Body:        append(body, '\n'),
		Close:       true,
	}
}
