package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"robincart/internal/lab/apiserver"
	"robincart/internal/record/store/sqlstore"
)

const (
	controllerTimeout   = 30 * time.Second
	controllerPoll      = 20 * time.Millisecond
	controllerDialLimit = time.Second
	shownLogBytes       = 500
)

// controller is a replica of the controller.
type controller struct {
	*childProcess
	place Place
	lists []string // addresses of its endpoint lists, by service
}

// controlPlace returns the place of a part of the control side. Each part is on a machine and in a rack of its own: the
// API in the first zone, the store in the second one, and the replicas each in the first free zone of the next region.
func (f *fleetRun) controlPlace(zone, number int) Place {
	s := f.scenario
	return Place{
		Region:  zone / (s.Zones / s.Regions),
		Zone:    zone,
		Rack:    s.Zones*s.Racks + number,
		Machine: f.nodes + number,
	}
}

func (f *fleetRun) storePlace() Place { return f.controlPlace(min(1, f.scenario.Zones-1), 1) }

func (f *fleetRun) controllerPlace(replica int) Place {
	s := f.scenario
	zonesPerRegion := s.Zones / s.Regions
	zone := replica%s.Regions*zonesPerRegion + replica/s.Regions%zonesPerRegion
	return f.controlPlace(zone, 2+replica)
}

// startControlSide starts the API with the servers, the store, and the controllers.
func (f *fleetRun) startControlSide(ctx context.Context) error {
	var names []string
	for i := range f.scenario.Services {
		names = append(names, fmt.Sprintf("s%02d", i))
		f.config.Services = append(f.config.Services, Service{Name: names[i]})
	}
	for i := range f.scenario.Zones {
		f.config.Zones = append(f.config.Zones, zoneName(i))
	}
	var err error
	if f.api, err = apiserver.Start("127.0.0.1:0", nil); err != nil {
		return err
	}
	f.apiPlace = f.controlPlace(0, 0)
	f.cluster = &Cluster{API: f.api, Services: names, Machines: f.config.Places, Port: serverPort}
	f.cluster.Fill()
	if *f.scenario.Record {
		if err := f.startNewStore(ctx); err != nil {
			return err
		}
	}
	return f.startControllers(ctx)
}

// startNewStore starts the store's stand-in and prepares it for nodes.
func (f *fleetRun) startNewStore(ctx context.Context) error {
	address, err := f.ports.next()
	if err != nil {
		return err
	}
	f.store = &childProcess{
		name:    targetStore,
		logPath: f.logPath(targetStore),
		args:    []string{f.options.LabProgram, PartCommand, storePart},
		calls:   true,
	}
	f.config.Store = Endpoint{Place: f.storePlace(), Addr: address}
	if err := f.startStore(); err != nil {
		return err
	}
	f.config.StoreURL = f.storeURL
	client, err := sqlstore.Open(f.storeURL)
	if err != nil {
		return err
	}
	defer client.Close()
	_, err = client.Init(ctx, false)
	return err
}

// startStore starts the store's process, with the rows that it had.
func (f *fleetRun) startStore() error {
	if err := f.store.start(); err != nil {
		return err
	}
	at := StoreAddress{Address: f.config.Store.Addr, Path: filepath.Join(f.options.Dir, "record.db")}
	return f.store.call(callBegin, at, &f.storeURL)
}

// startControllers starts all replicas and waits until each serves its lists.
func (f *fleetRun) startControllers(ctx context.Context) error {
	for i := range f.scenario.Replicas {
		if err := f.addController(i); err != nil {
			return err
		}
	}
	for _, replica := range f.controllers {
		if err := replica.start(); err != nil {
			return err
		}
	}
	for _, replica := range f.controllers {
		if err := replica.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addController writes the configuration of a replica, with proxies to the API and the store.
func (f *fleetRun) addController(number int) error {
	replica := &controller{place: f.controllerPlace(number)}
	api, err := f.startProxy(proxyAPI, replica.place, Endpoint{Place: f.apiPlace, Addr: f.api.Addr()})
	if err != nil {
		return err
	}
	status, err := f.ports.next()
	if err != nil {
		return err
	}
	var config strings.Builder
	fmt.Fprintf(&config, "identity = \"c%d\"\nstatus = %q\n[api]\nserver = \"http://%s\"\n", number, status, api)
	if *f.scenario.Record {
		if err := f.writeRecordTable(&config, replica.place); err != nil {
			return err
		}
	}
	for i := range f.config.Services {
		service := &f.config.Services[i]
		address, err := f.ports.next()
		if err != nil {
			return err
		}
		replica.lists = append(replica.lists, address)
		service.Replicas = append(service.Replicas, Endpoint{Place: replica.place, Addr: address})
		fmt.Fprintf(&config, "[[service]]\nname = %q\nlisten = %q\n", service.Name, address)
	}
	path := filepath.Join(f.options.Dir, fmt.Sprintf("c%d.toml", number))
	replica.childProcess = &childProcess{
		name:    controllerName(number),
		logPath: path + ".log",
		args:    []string{f.options.ControllerProgram, "--config", path},
	}
	f.controllers = append(f.controllers, replica)
	return os.WriteFile(path, []byte(config.String()), privateFile)
}

// writeRecordTable writes a replica's configuration of the record, with a server of it if nodes are to read it there.
func (f *fleetRun) writeRecordTable(config *strings.Builder, place Place) error {
	storeURL, err := f.proxiedStore(proxyStore, place)
	if err != nil {
		return err
	}
	fmt.Fprintf(config, "[record]\nstore = %q\n", storeURL)
	if !f.scenario.RecordByControllers {
		return nil
	}
	address, err := f.ports.next()
	if err != nil {
		return err
	}
	fmt.Fprintf(config, "listen = %q\n", address)
	f.config.RecordServers = append(f.config.RecordServers, Endpoint{Place: place, Addr: address})
	return nil
}

// awaitReady waits until the replica serves its last endpoint list.
func (c *controller) awaitReady(ctx context.Context) error {
	last := c.lists[len(c.lists)-1]
	limit := time.Now().Add(controllerTimeout)
	for time.Now().Before(limit) && ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", last, controllerDialLimit)
		if err == nil {
			conn.Close()
			return nil
		}
		sleep(ctx, controllerPoll)
	}
	log, _ := os.ReadFile(c.logPath)
	return fmt.Errorf("%s serves no list: %.*s", c.name, shownLogBytes, log)
}

// startDiscovery gives each service an address that real nodes reach its replicas by, one after another. Hollow nodes
// have it in their files, too, and connect to the replicas themselves.
func (f *fleetRun) startDiscovery() error {
	for i := range f.config.Services {
		service := &f.config.Services[i]
		var mu sync.Mutex
		turn := 0
		address, err := f.startProxyToAny(proxyDiscovery, f.config.Places[0], func() []target {
			mu.Lock()
			defer mu.Unlock()
			turn++
			return replicaTargets(service.Replicas, turn)
		})
		if err != nil {
			return err
		}
		service.Discovery = address
	}
	return nil
}
