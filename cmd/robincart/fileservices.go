package main

import (
	"context"
	"errors"
	"fmt"
	"net"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"robincart/internal/config/nodeconfig"
	"robincart/internal/controlplane/recordcache"
	"robincart/internal/dataplane/services"
	"robincart/internal/record/record"
	"robincart/internal/system/keys"
	"robincart/internal/system/socket"
)

// runFile runs the node with a configuration file: several services share one set of listeners.
func runFile(path string, caught signals) error {
	config, err := readAtStart(func() (*nodeconfig.Config, error) { return readFileConfig(path) })
	if err != nil {
		return err
	}
	level, err := zapcore.ParseLevel(config.Log.Level)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	log := newLog(config.Log.Format, level, config.Name)
	defer log.Sync()
	if err := checkAddresses(config.Listen); err != nil {
		return err
	}
	p, err := newProcess(config.Name, config.Limits, log)
	if err != nil {
		return err
	}
	defer p.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newFileBackend(ctx, p, path, config)
	defer b.closeRecord()
	if err := b.start(); err != nil {
		b.services.Close()
		return err
	}
	// The listeners are opened last. The kernel accepts connections for them from then on, and the requests that arrive
	// over these connections must not wait for files, for the store of record or for another process.
	listeners, err := b.listen()
	if err != nil {
		b.close()
		return err
	}
	p.run(listeners, b, caught)
	return nil
}

// readFileConfig reads a configuration file, with this process's descriptor limit as an upper bound for the configured
// number of descriptors.
func readFileConfig(path string) (*nodeconfig.Config, error) {
	maxDescriptors := descriptorLimit()
	return readWithSpare(func() (*nodeconfig.Config, error) { return nodeconfig.Read(path, maxDescriptors) })
}

// checkAddresses returns an error if another process listens on one of the addresses. Such a process may be one of this
// node, whose files must not be written by two processes.
func checkAddresses(addresses []string) error {
	for _, address := range addresses {
		if err := socket.CheckBindable(address); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	return nil
}

// listenAll listens on all addresses. If it can't listen on an address, it closes the listeners that are already open
// and returns the error.
func listenAll(addresses []string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := socket.Listen("tcp", address)
		if err != nil {
			closeAll(listeners)
			return nil, fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func closeAll(listeners []net.Listener) {
	for _, listener := range listeners {
		listener.Close()
	}
}

// fileBackend serves requests with the services of a configuration file.
type fileBackend struct {
	process      *process
	path         string             // of the configuration file
	fileConfig   *nodeconfig.Config // the configuration file, without the record
	config       *nodeconfig.Config // the configuration in force: the file, overridden by the record
	services     *services.Manager
	commands     *commandHandler
	gateways     []gatewayListener
	record       *recordcache.Cache // nil: there is no record
	recordStatus net.Listener       // of the record's status page; nil: there is none
	closeAdmin   func()
}

// newFileBackend creates the services and restores the saved operator state.
func newFileBackend(ctx context.Context, p *process, path string, config *nodeconfig.Config) *fileBackend {
	b := &fileBackend{process: p, path: path, fileConfig: config, config: config}
	b.services = services.New(config, p.clock, p.budget, p.log, p.poller)
	b.services.Telemetry = p.telemetry
	b.commands = newCommandHandler(p.frontend, b.services.Cores, p.log)
	if config.Admin.StateFile != "" {
		b.commands.stateFile = newOperatorStateFile(config.Admin.StateFile, p.log)
		b.commands.restore(ctx)
	}
	b.services.OnServiceStart = b.commands.serviceStarted
	return b
}

// start opens the keys and the record, starts the services and serves the admin address.
func (f *fileBackend) start() error {
	if err := f.openKeys(); err != nil {
		return err
	}
	if err := f.openRecord(); err != nil {
		return err
	}
	f.apply()
	var err error
	f.closeAdmin, err = serveAdmin(f.config.Admin.Listen, f.commands, f.process.log)
	return err
}

// listen opens the listeners for clients and gateways. It returns the listeners for clients.
func (f *fileBackend) listen() ([]net.Listener, error) {
	listeners, err := listenAll(f.config.Listen)
	if err != nil {
		return nil, err
	}
	if f.gateways, err = listenForGateways(f.config); err != nil {
		closeAll(listeners)
		return nil, err
	}
	l := f.process.limits
	f.process.log.Info("serving", zap.Strings("listen", f.config.Listen), zap.Int("services", len(f.config.Pools)),
		zap.Int("descriptors", l.Descriptors), zap.Int64("memory", l.MemoryLimit))
	return listeners, nil
}

func (f *fileBackend) openKeys() error {
	if !f.config.Keys.Enabled() {
		return nil
	}
	ring, err := keys.Open(f.config.Keys, f.process.log)
	if err != nil {
		return err
	}
	f.services.Keys = ring
	f.services.Go(ring.Run)
	return nil
}

// apply applies the current configuration to the services and the front end.
func (f *fileBackend) apply() {
	f.process.frontend.SetTable(f.services.Apply(f.config))
}

func (f *fileBackend) started() {
	for _, gateway := range f.gateways {
		f.process.frontend.ServeGateways(gateway.listener, gateway.gateway)
	}
	f.commands.accepting.Store(true)
}

func (f *fileBackend) reload() error {
	next, err := readFileConfig(f.path)
	var unreadable *unreadableError
	if errors.As(err, &unreadable) {
		return err
	}
	if err != nil {
		logRejectedConfiguration(f.process.log, err)
		return nil
	}
	if err := next.CheckScopes(f.fileConfig); err != nil {
		logRejectedConfiguration(f.process.log, err)
		return nil
	}
	restartKeys := next.KeepProcessSettings(f.config)
	merge := f.mergeRecord(next)
	if len(merge.Lost) > 0 {
		logRejectedConfiguration(f.process.log, unfitFileError(merge.Lost))
		return nil
	}
	if len(restartKeys) > 0 {
		f.process.log.Warn("restart required", zap.Strings("keys", restartKeys))
	}
	f.fileConfig = next
	f.useMerge(merge)
	f.apply()
	return nil
}

// unfitFileError returns the error of a configuration file that would put entries of the record out of force.
func unfitFileError(lost []*record.InvalidEntry) error {
	var errs []error
	for _, entry := range lost {
		errs = append(errs, fmt.Errorf("the record's %w", entry))
	}
	return errors.Join(errs...)
}

func (f *fileBackend) inFlight() int { return f.services.InFlight() }

// prepareShutdown returns false: a process with a configuration file has no successor.
func (f *fileBackend) prepareShutdown() (handedOver bool) { return false }

func (f *fileBackend) close() {
	f.closeAdmin()
	f.services.Close()
}
