package controller

import (
	"fmt"
	"time"

	"k8s.io/client-go/rest"

	"robincart/internal/controlplane/fanout"
	"robincart/internal/controlplane/membership"
	"robincart/internal/record/store"
	"robincart/internal/system/keys"
)

// Service is a service of the cluster manager whose endpoints are published to robincart nodes as one list.
type Service struct {
	ListName    string // name of the list on the status page and in the log
	ServiceName string // name of the cluster manager's Service
	Port        string // name or number of the port; empty: the first port
	Listen      string // address at which the list is served to nodes
}

// Config configures one replica of the controller.
type Config struct {
	API           *rest.Config // connection to the cluster manager
	Namespace     string
	Identity      string // identity of this replica as the holder of the lease
	LeaseName     string
	LeaseDuration time.Duration
	Membership    membership.Config
	Fanout        fanout.Config
	Services      []Service
	StatusAddress string     // address of the status page; empty: no page
	Keys          keys.Files // certificates for connections from nodes; not set: plain TCP
	// Store is the record store to which the entries that Setting objects define are written; nil: Setting objects are
	// not watched. Run closes the store.
	Store store.Store
	// RecordAddress is the address at which this replica serves the record to nodes, so that the nodes need
	// not poll the store; empty: the record is not served.
	RecordAddress    string
	MaxRecordClients int // maximum number of robincart nodes connected to RecordAddress at once
}

func (c *Config) validate() error {
	if err := c.Membership.Validate(); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	if c.RecordAddress != "" && c.Store == nil {
		return fmt.Errorf("record address %s is set, but there is no store: "+
			"set a store or remove the record address", c.RecordAddress)
	}
	seen := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		if seen[service.ServiceName] {
			return fmt.Errorf("service %s is configured twice", service.ServiceName)
		}
		seen[service.ServiceName] = true
	}
	return nil
}
