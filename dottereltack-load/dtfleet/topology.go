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

// Topology describes the fleet to start.
type Topology struct {
	Region            string
	Domains           []string
	RoutersPerDomain  []int // One entry per failure domain, as in the next two fields.
	EnginesPerDomain  []int
	ServicesPerDomain []int // Plain services.
	EngineGroup       string
	ServiceGroup      string
	Engine            dtengine.Settings
	Service           dtservice.Settings
	Platform          dtplatform.Settings
	Site              dtconfig.Site
	HasProxies        bool // Peer, server and platform links pass through fault proxies.
	LinkDelay         time.Duration
	ShutdownTimeout   time.Duration // Timeout of a graceful stop; below 10 s, 10 s applies.
	LogLevel          string
	MaxBodyBytes      int // Of a request; zero for the default, as in the next two fields.
	MemoryMB          int // That a router's process may use.
	MaxDescriptors    int // That it may open.
}

// PeerKey is the key that the routers of a fleet share.
const PeerKey = "loopback-shared-key-0001"

// AccountKey returns the bearer key of a client account.
func AccountKey(account string) string { return "key-of-" + account }

// AccountKeyDigest returns the digest of a client account's key, as in the configuration.
func AccountKeyDigest(account string) string {
	sum := sha256.Sum256([]byte(AccountKey(account)))
	return hex.EncodeToString(sum[:])
}

// SmallTopology returns two failure domains with two routers, three engines and a service
// each, as in the demonstration.
func SmallTopology() Topology {
	return Topology{
		Region: "ro-centru", Domains: []string{"centru-a", "centru-b"},
		RoutersPerDomain: []int{2, 2}, EnginesPerDomain: []int{3, 3}, ServicesPerDomain: []int{1, 1},
		EngineGroup: "poster-writer", ServiceGroup: "franchise-desk",
		Engine:   dtengine.Settings{Slots: 16, TokenMs: 4, PrefillUs: 20, ColdMs: 0, ReportLagMs: 200},
		Service:  dtservice.Settings{CallMs: 3},
		LogLevel: "info",
	}
}

// Accounts returns the client accounts of a fleet, all of the same weight.
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
		s.Groups[t.EngineGroup] = dtconfig.Group{Kind: dtconfig.KindEngine, MaxInFlight: max(t.Engine.Slots, 1), ColdMaxInFlight: max(t.Engine.ColdMaxInFlight, 2), SlowFirstTokenMs: 1000}
	}
	if _, ok := s.Groups[t.ServiceGroup]; !ok {
		s.Groups[t.ServiceGroup] = dtconfig.Group{
			Kind: dtconfig.KindService, MaxInFlight: 64, ColdMaxInFlight: 8, SlowFirstTokenMs: 1000,
			Calls: map[string]dtconfig.Call{"print": {}, "stock": {Idempotent: true}},
		}
	}
	s.Accounts = map[string]dtconfig.Account{}
	for _, a := range Accounts() {
		s.Accounts[a] = dtconfig.Account{KeyDigests: []string{AccountKeyDigest(a)}, Weight: 1}
	}
	s.FailureDomains = map[string]dtconfig.FailureDomain{}
	for _, d := range t.Domains {
		s.FailureDomains[d] = dtconfig.FailureDomain{Region: t.Region}
	}
	return s
}

// initialRecord returns the configuration record with which the platform starts.
func (t *Topology) initialRecord() (dtstate.PlatformValue, error) {
	site := t.site()
	base, err := json.Marshal(&site)
	if err != nil {
		return dtstate.PlatformValue{}, err
	}
	r := &dtstate.ConfigRecord{Version: 1, Base: base, By: "start", AtMs: uint64(time.Now().UnixMilli())}
	return dtstate.PlatformValue{Config: r}, nil
}

// DomainIPPrefix returns the prefix of the loopback addresses from which the routers of a
// failure domain connect.
func DomainIPPrefix(domain int) string { return fmt.Sprintf("127.0.%d.", domain+1) }

func routerIP(domain, i int) string { return fmt.Sprintf("%s%d", DomainIPPrefix(domain), i+1) }

// standSettings returns the settings of the simulated components and the fault proxies.
func (t *Topology) standSettings(allocatePort func() int) (dtstand.Settings, error) {
	value, err := t.initialRecord()
	if err != nil {
		return dtstand.Settings{}, err
	}
	s := dtstand.Settings{
		AdminAddress: loopbackAddress(allocatePort()), Platform: t.Platform,
		InitialKeys: map[string]any{dtstate.ConfigKey: value},
	}
	s.Platform.Address = loopbackAddress(allocatePort())
	for d, domain := range t.Domains {
		for i := range t.EnginesPerDomain[d] {
			e := t.Engine
			e.Server = fmt.Sprintf("%s-%s-%d", t.EngineGroup, domain, i)
			e.Address = loopbackAddress(allocatePort())
			if e.Model == "" {
				e.Model = t.EngineGroup
			}
			place := t.placeServer(&s, domain, t.EngineGroup, e.Server, e.Address, allocatePort)
			s.Engines = append(s.Engines, dtstand.EngineHost{Place: place, Settings: e})
		}
		for i := range t.ServicesPerDomain[d] {
			v := t.Service
			v.Server = fmt.Sprintf("%s-%s-%d", t.ServiceGroup, domain, i)
			v.Address = loopbackAddress(allocatePort())
			place := t.placeServer(&s, domain, t.ServiceGroup, v.Server, v.Address, allocatePort)
			s.Services = append(s.Services, dtstand.ServiceHost{Place: place, Settings: v})
		}
	}
	return s, nil
}

// placeServer returns the place of a server and, if the topology has proxies, adds one.
func (t *Topology) placeServer(s *dtstand.Settings, domain, group, name, address string, allocatePort func() int) dtstand.Place {
	place := dtstand.Place{FailureDomain: domain, Region: t.Region, Group: group}
	if t.HasProxies {
		place.AdvertisedAddress = loopbackAddress(allocatePort())
		s.Proxies = append(s.Proxies, dtstand.ProxySettings{Name: name, Address: place.AdvertisedAddress, Target: address})
	}
	return place
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
