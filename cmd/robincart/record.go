package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"go.uber.org/zap"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/record/store"
	"robincart/internal/system/keys"
	"robincart/internal/system/socket"
)

// openRecord opens the cache of the record and serves the record's status page, if they are configured.
func (f *fileBackend) openRecord() error {
	config := f.config.Record
	if config.Store == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Duration(config.CallTimeout))
	defer cancel()
	var err error
	if f.record, err = recordcache.Open(ctx, f.recordCacheConfig(), f.process.log); err != nil {
		return err
	}
	if config.StatusAddress != "" {
		if f.recordStatus, err = socket.Listen("tcp", config.StatusAddress); err != nil {
			return fmt.Errorf("record.status: %w", err)
		}
		go f.record.ServeStatus(f.recordStatus)
	}
	f.services.RecordCache = f.record
	f.useMerge(f.mergeRecord(f.fileConfig))
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
	merge := f.mergeRecord(f.fileConfig)
	f.useMerge(merge)
	if merge.Changed {
		f.apply()
	}
}

// mergeRecord returns a configuration file overridden by the entries of the record that fit.
func (f *fileBackend) mergeRecord(file *nodeconfig.Config) *nodeconfig.RecordMerge {
	if f.record == nil {
		return &nodeconfig.RecordMerge{Config: file}
	}
	merge := file.WithRecord(f.record.Configuration())
	if merge.Config != file {
		merge.Config.KeepProcessSettings(f.config)
	}
	return merge
}

// useMerge makes a merge the configuration in force.
func (f *fileBackend) useMerge(merge *nodeconfig.RecordMerge) {
	f.config = merge.Config
	if f.record != nil {
		f.record.SetConfiguration(merge.InForce, merge.Invalid)
	}
}
