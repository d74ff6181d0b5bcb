package dtstand

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtlisten"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtplatform"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtproxy"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtservice"
)

// Settings configures the simulated systems of one process.
type Settings struct {
	AdminAddress string              `json:"admin_address"` // Empty for no admin interface.
	Platform     dtplatform.Settings `json:"platform"`
	Engines      []EngineHost        `json:"engines"`
	Services     []ServiceHost       `json:"services"`
	Proxies      []ProxySettings     `json:"proxies"`
	InitialKeys  map[string]any      `json:"keys"` // Initial keys and values of the platform.
}

// Place describes a backend server in the platform's list of hosts.
type Place struct {
	FailureDomain     string `json:"failure_domain"`
	Region            string `json:"region"`
	Group             string `json:"group"`
	AdvertisedAddress string `json:"advertised"` // If not empty, listed instead of the real address.
}

// EngineHost configures an engine and its place.
type EngineHost struct {
	Place
	dtengine.Settings
}

// ServiceHost configures a service and its place.
type ServiceHost struct {
	Place
	dtservice.Settings
}

// ProxySettings configures a fault-injecting proxy.
type ProxySettings struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Target  string `json:"target"`
}

// LoadSettings reads the settings file at path, which is JSON with comments.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	settings := &Settings{}
	if err := json.Unmarshal(standard, settings); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

// Environment holds the running simulated systems: engines, services and hosts by server ID,
// proxies by name.
type Environment struct {
	Settings    Settings
	Platform    *dtplatform.Server
	Engines     map[string]*dtengine.Engine
	Services    map[string]*dtservice.Service
	Proxies     map[string]*dtproxy.Proxy
	Hosts       map[string]dtapi.HostEntry
	adminServer *dtlisten.Server
}

// Start starts all systems in the settings, or stops them again and returns the first error.
func Start(settings Settings) (*Environment, error) {
	env := &Environment{
		Settings: settings, Engines: map[string]*dtengine.Engine{}, Services: map[string]*dtservice.Service{},
		Proxies: map[string]*dtproxy.Proxy{}, Hosts: map[string]dtapi.HostEntry{},
	}
	steps := []func() error{env.startPlatform, env.startEngines, env.startServices, env.startProxies, env.startAdmin}
	for _, step := range steps {
		if err := step(); err != nil {
			env.Stop()
			return nil, err
		}
	}
	return env, nil
}

func (env *Environment) startPlatform() error {
	p, err := dtplatform.New(env.Settings.Platform)
	if err != nil {
		return err
	}
	env.Platform = p
	for key, value := range env.Settings.InitialKeys {
		body, err := json.Marshal(value)
		if err != nil {
			return err
		}
		p.Store.Put(dtapi.PutRequest{Key: key, Value: body}, time.Now())
	}
	p.Start()
	return nil
}

func (env *Environment) startEngines() error {
	for _, h := range env.Settings.Engines {
		e, err := dtengine.New(h.Settings)
		if err != nil {
			return err
		}
		e.Start()
		env.Engines[h.Server] = e
		env.registerHost(h.Server, "engine", e.Settings.Address, h.Place)
	}
	return nil
}

func (env *Environment) startServices() error {
	for _, h := range env.Settings.Services {
		svc, err := dtservice.New(h.Settings)
		if err != nil {
			return err
		}
		svc.Start()
		env.Services[h.Server] = svc
		env.registerHost(h.Server, "service", svc.Settings.Address, h.Place)
	}
	return nil
}

// registerHost adds a backend server to the platform's list of hosts.
func (env *Environment) registerHost(id, kind, address string, place Place) {
	if place.AdvertisedAddress != "" {
		address = place.AdvertisedAddress
	}
	h := dtapi.HostEntry{
		ID: id, Kind: kind, Address: address,
		FailureDomain: place.FailureDomain, Region: place.Region, Group: place.Group,
	}
	env.Hosts[id] = h
	env.Platform.Store.SetHost(h, time.Now())
}

// SetHostState makes the platform list a backend server as draining, as gone, or, if both are
// false, as present.
func (env *Environment) SetHostState(id string, draining, gone bool) {
	h := env.Hosts[id]
	h.Draining, h.Gone = draining, gone
	env.Platform.Store.SetHost(h, time.Now())
}

func (env *Environment) startProxies() error {
	for _, settings := range env.Settings.Proxies {
		p, err := dtproxy.New(settings.Address, settings.Target)
		if err != nil {
			return err
		}
		p.Start()
		env.Proxies[settings.Name] = p
	}
	return nil
}

// Stop stops all systems and waits for their background goroutines.
func (env *Environment) Stop() {
	if env.adminServer != nil {
		env.adminServer.Stop()
	}
	for _, p := range env.Proxies {
		p.Stop()
	}
	for _, e := range env.Engines {
		e.Stop()
	}
	for _, svc := range env.Services {
		svc.Stop()
	}
	if env.Platform != nil {
		env.Platform.Stop()
	}
}

// errNotFound is returned for a command whose action or name is unknown.
var errNotFound = errors.New("unknown action or name")
