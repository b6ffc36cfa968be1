package controller

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/recordserver"
)

const (
	statusReadTimeout  = time.Second
	statusWriteTimeout = 2 * time.Second
)

// Status is the state of a replica as the status page shows it.
type Status struct {
	Identity     string                   `json:"identity"`
	Leading      bool                     `json:"leads"`
	Epoch        int64                    `json:"epoch"`
	Synced       bool                     `json:"whole"`
	Disconnected map[string]float64       `json:"cut_seconds"` // by kind: seconds since the watch of the kind was lost
	Skipped      map[string]string        `json:"skipped"`     // by object: reason why the object is not used
	GatesOpened  int                      `json:"gates_opened"`
	RecordError  string                   `json:"record,omitempty"` // error of the last reconciliation of the record
	RecordServer *recordserver.Status     `json:"relay,omitempty"`
	Services     map[string]fanout.Status `json:"services"`
}

// Status returns the current state of the replica.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := Status{
		Identity:     c.config.Identity,
		Leading:      c.leading,
		Epoch:        c.epoch,
		Synced:       c.isSynced(),
		Disconnected: make(map[string]float64, len(c.disconnected)),
		Skipped:      maps.Clone(c.skipped),
		GatesOpened:  c.gatesOpened,
		Services:     make(map[string]fanout.Status, len(c.config.Services)),
	}
	if c.recordWriter != nil {
		status.RecordError = c.recordWriter.lastError
	}
	if c.recordServer != nil {
		recordServer := c.recordServer.Status()
		status.RecordServer = &recordServer
	}
	for kind, lost := range c.disconnected {
		status.Disconnected[kind] = time.Since(lost.since).Seconds()
	}
	for _, service := range c.config.Services {
		status.Services[service.ListName] = c.lists[service.ServiceName].Status()
	}
	return status
}

// startStatusServer serves the status page until the context ends.
func (c *Controller) startStatusServer(ctx context.Context) {
	server := &http.Server{
		Handler:           http.HandlerFunc(c.serveStatus),
		ReadHeaderTimeout: statusReadTimeout,
		WriteTimeout:      statusWriteTimeout,
	}
	c.goroutines.Go(func() { server.Serve(c.statusListener) })
	c.goroutines.Go(func() {
		<-ctx.Done()
		server.Close()
	})
}

func (c *Controller) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/status" {
		http.Error(w, "unknown request: expected GET /status", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.Encode(c.Status())
}
