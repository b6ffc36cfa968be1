package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/record/record"
	"robincart/internal/record/store"
	"robincart/internal/system/keys"
	"robincart/internal/system/socket"
)

// configurationKinds are the kinds of record entries that override the configuration file.
var configurationKinds = []record.Kind{record.KindService, record.KindRoute, record.KindTenant}

// openRecord opens the cache of the record and serves the record's status page, if they are configured.
func (f *fileBackend) openRecord() error {
	config := f.config.Record
	if config.Store == "" {
		return nil
	}
	if config.StatusAddress != "" {
		var err error
		if f.recordStatus, err = socket.Listen("tcp", config.StatusAddress); err != nil {
			return fmt.Errorf("record.status: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Duration(config.CallTimeout))
	defer cancel()
	var err error
	if f.record, err = recordcache.Open(ctx, f.recordCacheConfig(), f.process.log); err != nil {
		return err
	}
	if f.recordStatus != nil {
		go f.record.ServeStatus(f.recordStatus)
	}
	f.services.RecordCache = f.record
	f.config = f.withRecord()
	return nil
}

func (f *fileBackend) recordCacheConfig() recordcache.Config {
	config := f.config.Record
	ring, log := f.services.Keys, f.process.log // copied here, since Open is called from another goroutine
	return recordcache.Config{
		Name:         f.config.Name,
		Store:        store.Redact(config.Store),
		Open:         func() (store.Store, error) { return openStore(config.Store, ring, log) },
		Snapshot:     config.Snapshot,
		Required:     config.Required,
		MaxStaleness: time.Duration(*config.MaxStaleness),
		MaxPending:   config.MaxPending,
		CallTimeout:  time.Duration(config.CallTimeout),
		PollInterval: time.Duration(config.PollInterval),
	}
}

// openStore opens the store of record. If the address names controllers, openStore connects to the controllers; this
// needs neither a database driver nor another program. Otherwise it starts the store program, which has the database
// drivers.
func openStore(address string, ring *keys.Ring, log *zap.Logger) (store.Store, error) {
	addresses, byControllers, _ := store.ParseControllers(address)
	if !byControllers {
		return startStoreProgram(address, log)
	}
	var clientTLS func(string) *tls.Config
	if ring != nil {
		clientTLS = ring.Client
	}
	return store.DialControllers(addresses, clientTLS), nil
}

// closeRecord closes the status page and the cache, if they are open.
func (f *fileBackend) closeRecord() {
	if f.recordStatus != nil {
		f.recordStatus.Close()
	}
	if f.record != nil {
		f.record.Close()
	}
}

func (f *fileBackend) recordChanges() <-chan struct{} {
	if f.record == nil {
		return nil
	}
	return f.record.Changes()
}

func (f *fileBackend) applyRecord() {
	next := f.withRecord()
	if next == f.config {
		return
	}
	f.config = next
	f.apply()
}

// withRecord returns the configuration file overridden by the record's entries. If the result is invalid, it logs the
// errors and returns the configuration in force.
func (f *fileBackend) withRecord() *nodeconfig.Config {
	if f.record == nil {
		return f.fileConfig
	}
	var entries []record.Entry
	for _, kind := range configurationKinds {
		entries = append(entries, f.record.Entries(kind)...)
	}
	if len(entries) == 0 {
		return f.fileConfig
	}
	next, err := f.fileConfig.WithRecord(entries)
	if err != nil {
		f.process.log.Error("record configuration rejected", zap.Strings("errors", strings.Split(err.Error(), "\n")))
		return f.config
	}
	next.KeepProcessSettings(f.config)
	return next
}
