package dtfleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtengine"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtplatform"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtservice"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtstand"
)

// Topology is the fleet to start.
type Topology struct {
	Region       string
	Domains      []string
	Routers      []int // Routers in each failure domain.
	Engines      []int // Engines in each failure domain.
	Services     []int // Plain services in each failure domain.
	EngineGroup  string
	ServiceGroup string
	Engine       dtengine.Settings
	Service      dtservice.Settings
	Platform     dtplatform.Settings
	Site         dtconfig.Site
	Proxied      bool // Every peer, server and platform link passes a fault proxy.
	LinkDelay    time.Duration
	StopWithin   time.Duration
	LogLevel     string
}

// PeerKey is the shared key of the routers of a started fleet.
const PeerKey = "loopback-shared-key-0001"

// KeyOf returns the bearer key of a client account of a started fleet.
func KeyOf(account string) string { return "key-of-" + account }

// DigestOf returns the digest of a client account's key, as settings hold it.
func DigestOf(account string) string {
	sum := sha256.Sum256([]byte(KeyOf(account)))
	return hex.EncodeToString(sum[:])
}

// SmallSite returns a topology of two failure domains with engines and a service, as
// the demonstration uses it.
func SmallSite() Topology {
	return Topology{
		Region: "ro-centru", Domains: []string{"centru-a", "centru-b"},
		Routers: []int{2, 2}, Engines: []int{3, 3}, Services: []int{1, 1},
		EngineGroup: "poster-writer", ServiceGroup: "franchise-desk",
		Engine:   dtengine.Settings{Slots: 16, TokenMs: 4, PrefillUs: 20, ColdMs: 0, ReportLagMs: 200},
		Service:  dtservice.Settings{CallMs: 3},
		LogLevel: "info",
	}
}

// Accounts are the client accounts of a started fleet, heavier ones first.
func Accounts() []string {
	return []string{"acc-0", "acc-1", "acc-2", "acc-3", "acc-4", "acc-5", "acc-6", "acc-7", "acc-8", "acc-9"}
}

// site returns the topology's configuration with its groups, accounts and domains.
func (t *Topology) site() dtconfig.Site {
	s := t.Site
	if s.Groups == nil {
		s.Groups = map[string]dtconfig.Group{}
	}
	if _, ok := s.Groups[t.EngineGroup]; !ok {
		s.Groups[t.EngineGroup] = dtconfig.Group{Kind: dtconfig.KindEngine, MaxInflight: max(t.Engine.Slots, 1), ColdMaxInflight: max(t.Engine.ColdCap, 2), SlowFirstTokenMs: 1000}
	}
	if _, ok := s.Groups[t.ServiceGroup]; !ok {
		s.Groups[t.ServiceGroup] = dtconfig.Group{
			Kind: dtconfig.KindService, MaxInflight: 64, ColdMaxInflight: 8, SlowFirstTokenMs: 1000,
			Calls: map[string]dtconfig.Call{"print": {}, "stock": {Idempotent: true}},
		}
	}
	s.Accounts = map[string]dtconfig.Account{}
	for _, a := range Accounts() {
		s.Accounts[a] = dtconfig.Account{KeyDigests: []string{DigestOf(a)}, Weight: 1}
	}
	s.FailureDomains = map[string]dtconfig.FailureDomain{}
	for _, d := range t.Domains {
		s.FailureDomains[d] = dtconfig.FailureDomain{Region: t.Region}
	}
	return s
}

// record returns the configuration record that the platform begins with.
func (t *Topology) record() (dtstate.PlatformValue, error) {
	site := t.site()
	base, err := json.Marshal(&site)
	if err != nil {
		return dtstate.PlatformValue{}, err
	}
	r := &dtstate.ConfigRecord{Version: 1, Base: base, By: "start", AtMs: uint64(time.Now().UnixMilli())}
	return dtstate.PlatformValue{Config: r}, nil
}

// Source returns the IP prefix from which a failure domain's routers connect.
func Source(domain int) string { return fmt.Sprintf("127.0.%d.", domain+1) }

// routerIP returns the IP number of a router.
func routerIP(domain, i int) string { return fmt.Sprintf("%s%d", Source(domain), i+1) }

// stand returns the settings of the stand-ins; every server gets its ports from ports.
func (t *Topology) stand(ports func() int) (dtstand.Settings, error) {
	value, err := t.record()
	if err != nil {
		return dtstand.Settings{}, err
	}
	s := dtstand.Settings{
		AdminAddress: local(ports()), Platform: t.Platform,
		InitialKeys: map[string]any{dtstate.ConfigKey: value},
	}
	s.Platform.Address = local(ports())
	for d, domain := range t.Domains {
		for i := range t.Engines[d] {
			e := t.Engine
			e.Server = fmt.Sprintf("%s-%s-%d", t.EngineGroup, domain, i)
			e.Address = local(ports())
			if e.Model == "" {
				e.Model = t.EngineGroup
			}
			at := t.place(&s, domain, t.EngineGroup, e.Server, e.Address, ports)
			s.Engines = append(s.Engines, dtstand.EngineHost{Place: at, Settings: e})
		}
		for i := range t.Services[d] {
			v := t.Service
			v.Server = fmt.Sprintf("%s-%s-%d", t.ServiceGroup, domain, i)
			v.Address = local(ports())
			at := t.place(&s, domain, t.ServiceGroup, v.Server, v.Address, ports)
			s.Services = append(s.Services, dtstand.ServiceHost{Place: at, Settings: v})
		}
	}
	return s, nil
}

// place returns where a server stands, behind a proxy of its own if asked for.
func (t *Topology) place(s *dtstand.Settings, domain, group, name, address string, ports func() int) dtstand.Place {
	at := dtstand.Place{FailureDomain: domain, Region: t.Region, Group: group}
	if t.Proxied {
		at.AdvertisedAddress = local(ports())
		s.Proxies = append(s.Proxies, dtstand.ProxySettings{Name: name, Address: at.AdvertisedAddress, Target: address})
	}
	return at
}

func local(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
