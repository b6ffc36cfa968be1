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

// The control side is on machines of its own, in racks of their own: the API in the first zone, the store in the
// second one, and the replicas each in the first zone that is left of the next region.
func (r *fleetRun) controlPlace(zone, number int) Place {
	s := r.scenario
	return Place{
		Region:  zone / (s.Zones / s.Regions),
		Zone:    zone,
		Rack:    s.Zones*s.Racks + number,
		Machine: r.nodes + number,
	}
}

func (r *fleetRun) storePlace() Place { return r.controlPlace(min(1, r.scenario.Zones-1), 1) }

func (r *fleetRun) controllerPlace(replica int) Place {
	s := r.scenario
	zonesPerRegion := s.Zones / s.Regions
	zone := replica%s.Regions*zonesPerRegion + replica/s.Regions%zonesPerRegion
	return r.controlPlace(zone, 2+replica)
}

// startControlSide starts the API with the servers, the store, and the controllers.
func (r *fleetRun) startControlSide(ctx context.Context) error {
	var names []string
	for i := range r.scenario.Services {
		names = append(names, fmt.Sprintf("s%02d", i))
		r.config.Services = append(r.config.Services, Service{Name: names[i]})
	}
	for i := range r.scenario.Zones {
		r.config.Zones = append(r.config.Zones, zoneName(i))
	}
	var err error
	if r.api, err = apiserver.Start("127.0.0.1:0", nil); err != nil {
		return err
	}
	r.apiPlace = r.controlPlace(0, 0)
	r.cluster = &Cluster{API: r.api, Services: names, Machines: r.config.Places, Port: serverPort}
	r.cluster.Fill()
	if *r.scenario.Record {
		if err := r.startNewStore(ctx); err != nil {
			return err
		}
	}
	return r.startControllers(ctx)
}

// startNewStore starts the store's stand-in and prepares it for nodes.
func (r *fleetRun) startNewStore(ctx context.Context) error {
	address, err := r.ports.next()
	if err != nil {
		return err
	}
	r.store = &childProcess{
		name:    targetStore,
		logPath: r.logPath(targetStore),
		args:    []string{r.options.LabProgram, PartCommand, storePart},
		calls:   true,
	}
	r.config.Store = Endpoint{Place: r.storePlace(), Addr: address}
	if err := r.startStore(); err != nil {
		return err
	}
	r.config.StoreURL = r.storeURL
	client, err := sqlstore.Open(r.storeURL)
	if err != nil {
		return err
	}
	defer client.Close()
	_, err = client.Init(ctx, false)
	return err
}

// startStore starts the store's process, with the rows that it had.
func (r *fleetRun) startStore() error {
	if err := r.store.start(); err != nil {
		return err
	}
	at := StoreAddress{Address: r.config.Store.Addr, Path: filepath.Join(r.options.Dir, "record.db")}
	return r.store.call(callBegin, at, &r.storeURL)
}

// startControllers starts all replicas and waits until each serves its lists.
func (r *fleetRun) startControllers(ctx context.Context) error {
	for i := range r.scenario.Replicas {
		if err := r.addController(i); err != nil {
			return err
		}
	}
	for _, replica := range r.controllers {
		if err := replica.start(); err != nil {
			return err
		}
	}
	for _, replica := range r.controllers {
		if err := replica.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addController writes the configuration of a replica, with proxies to the API and the store.
func (r *fleetRun) addController(number int) error {
	replica := &controller{place: r.controllerPlace(number)}
	api, err := r.startProxy(proxyAPI, replica.place, Endpoint{Place: r.apiPlace, Addr: r.api.Addr()})
	if err != nil {
		return err
	}
	status, err := r.ports.next()
	if err != nil {
		return err
	}
	var config strings.Builder
	fmt.Fprintf(&config, "identity = \"c%d\"\nstatus = %q\n[api]\nserver = \"http://%s\"\n", number, status, api)
	if *r.scenario.Record {
		if err := r.writeRecordTable(&config, replica.place); err != nil {
			return err
		}
	}
	for i := range r.config.Services {
		service := &r.config.Services[i]
		address, err := r.ports.next()
		if err != nil {
			return err
		}
		replica.lists = append(replica.lists, address)
		service.Replicas = append(service.Replicas, Endpoint{Place: replica.place, Addr: address})
		fmt.Fprintf(&config, "[[service]]\nname = %q\nlisten = %q\n", service.Name, address)
	}
	path := filepath.Join(r.options.Dir, fmt.Sprintf("c%d.toml", number))
	replica.childProcess = &childProcess{
		name:    controllerName(number),
		logPath: path + ".log",
		args:    []string{r.options.ControllerProgram, "--config", path},
	}
	r.controllers = append(r.controllers, replica)
	return os.WriteFile(path, []byte(config.String()), privateFile)
}

// writeRecordTable writes a replica's configuration of the record, with a server of it if nodes are to read it there.
func (r *fleetRun) writeRecordTable(config *strings.Builder, place Place) error {
	storeURL, err := r.proxiedStore(proxyStore, place)
	if err != nil {
		return err
	}
	fmt.Fprintf(config, "[record]\nstore = %q\n", storeURL)
	if !r.scenario.RecordByControllers {
		return nil
	}
	address, err := r.ports.next()
	if err != nil {
		return err
	}
	fmt.Fprintf(config, "listen = %q\n", address)
	r.config.RecordServers = append(r.config.RecordServers, Endpoint{Place: place, Addr: address})
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
func (r *fleetRun) startDiscovery() error {
	for i := range r.config.Services {
		service := &r.config.Services[i]
		var mu sync.Mutex
		turn := 0
		address, err := r.startProxyToAny(proxyDiscovery, r.config.Places[0], func() []target {
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
