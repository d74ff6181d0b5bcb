package dtmodel

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
)

// platformDelay is the one-way delay to the platform.
const platformDelay = time.Millisecond

// watchTimeout is how long a watch waits for a change.
const watchTimeout = 20 * time.Second

// Platform simulates the key-value service and the list of hosts.
type Platform struct {
	Outage            bool
	LostResponseRatio float64 // Responses that are lost after the call took effect.
	LostCallRatio     float64 // Calls that are lost before they take effect.
	ExtraDelay        time.Duration
	CallCounts        map[string]int
	Values            map[string]StoredValue
	revision          uint64
	hosts             []dtstate.Host
	hostRevision      uint64
	sites             map[string]*dtconfig.Site
	watches           []watch
	sim               *Simulation
	partitioned       map[string]bool
}

// StoredValue is the JSON value of a key and the revision of its last write.
type StoredValue struct {
	Revision uint64
	Value    []byte
}

// watch is a call that waits for a change of a key.
type watch struct {
	key       string
	revision  uint64
	expiresAt time.Time
	reply     func(dtstate.PlatformCallCompleted)
}

func newPlatform(sim *Simulation) *Platform {
	return &Platform{sim: sim, CallCounts: map[string]int{}, Values: map[string]StoredValue{}, sites: map[string]*dtconfig.Site{}, partitioned: map[string]bool{}}
}

// SetPartitioned disconnects a failure domain from the platform or reconnects it.
func (p *Platform) SetPartitioned(domain string, partitioned bool) {
	p.partitioned[domain] = partitioned
}

func (p *Platform) putInitialConfig(site *dtconfig.Site) {
	p.ApplyConfig(site, 1)
}

// ApplyConfig stores a configuration with a version, as an operator's command does.
func (p *Platform) ApplyConfig(site *dtconfig.Site, version uint64) {
	base := fmt.Appendf(nil, "site-%d", len(p.sites))
	p.sites[string(base)] = site
	p.write(dtstate.ConfigKey, dtstate.PlatformValue{Config: &dtstate.ConfigRecord{Version: version, Base: base, By: "model", AtMs: uint64(p.sim.Now.UnixMilli())}})
}

// decodeConfig looks up the site of a record; in the simulation its base is only a name.
func (p *Platform) decodeConfig(r *dtstate.ConfigRecord) dtstate.ConfigDecoded {
	site := p.sites[string(r.Base)]
	ev := dtstate.ConfigDecoded{Record: r, Site: site}
	if site == nil {
		ev.Problem = "unknown base"
	}
	return ev
}

// ConfigRecord returns the stored configuration, or nil if there is none.
func (p *Platform) ConfigRecord() *dtstate.ConfigRecord {
	var v dtstate.PlatformValue
	if json.Unmarshal(p.Values[dtstate.ConfigKey].Value, &v) != nil {
		return nil
	}
	return v.Config
}

// write stores a value unconditionally.
func (p *Platform) write(key string, v dtstate.PlatformValue) {
	body, err := json.Marshal(&v)
	if err != nil {
		panic(err)
	}
	p.revision++
	p.Values[key] = StoredValue{Revision: p.revision, Value: body}
	p.notifyWatches(key)
}

// notifyWatches answers the watches of a changed key.
func (p *Platform) notifyWatches(key string) {
	remaining := p.watches[:0]
	for _, w := range p.watches {
		if w.key == key && p.Values[key].Revision != w.revision {
			w.reply(p.read(key))
			continue
		}
		remaining = append(remaining, w)
	}
	p.watches = remaining
}

// keys returns the keys with a prefix in ascending order.
func (p *Platform) keys(prefix string) []string {
	var out []string
	for key := range p.Values {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

// RollBackConfig lowers the configuration's version by a number of versions, as if the
// store were restored from an old copy.
func (p *Platform) RollBackConfig(versions uint64) {
	r := p.ConfigRecord()
	if r.Version <= versions {
		return
	}
	old := *r
	old.Version -= versions
	p.write(dtstate.ConfigKey, dtstate.PlatformValue{Config: &old})
}

func (p *Platform) read(key string) dtstate.PlatformCallCompleted {
	stored := p.Values[key]
	ev := dtstate.PlatformCallCompleted{Status: dtstate.PlatformOK, Revision: stored.Revision}
	if len(stored.Value) > 0 {
		if err := json.NewDecoder(bytes.NewReader(stored.Value)).Decode(&ev.Value); err != nil {
			panic(err)
		}
	}
	return ev
}

// call performs a platform call and delivers its response, or a timeout if the call or
// the response is lost.
func (p *Platform) call(router *Router, e dtstate.PlatformCall) {
	sim := p.sim
	operations := [...]string{"get", "put", "watch", "hosts"}
	p.CallCounts[operations[e.Op]]++
	incarnation := router.incarnation
	answered := false
	reply := func(ev dtstate.PlatformCallCompleted) {
		if answered {
			return
		}
		answered = true
		ev.CallID = e.CallID
		router.deliverTo(incarnation, ev)
	}
	timeOut := func() { reply(dtstate.PlatformCallCompleted{Status: dtstate.PlatformOutcomeUnknown}) }
	const callTimeout = 1500 * time.Millisecond
	if e.Op != dtstate.PlatformWatch {
		sim.AfterFunc(callTimeout, timeOut)
	} else {
		sim.AfterFunc(watchTimeout, timeOut)
	}
	if p.Outage || p.partitioned[router.Domain] || sim.chance(p.LostCallRatio) {
		return
	}
	sim.AfterFunc(sim.jitter(platformDelay)+p.ExtraDelay, func() {
		p.apply(e, func(ev dtstate.PlatformCallCompleted) {
			if sim.chance(p.LostResponseRatio) || p.partitioned[router.Domain] {
				return
			}
			sim.AfterFunc(sim.jitter(platformDelay)+p.ExtraDelay, func() { reply(ev) })
		})
	})
}

func (p *Platform) apply(e dtstate.PlatformCall, reply func(dtstate.PlatformCallCompleted)) {
	switch e.Op {
	case dtstate.PlatformGet:
		reply(p.read(e.Key))
	case dtstate.PlatformPut:
		if p.Values[e.Key].Revision != e.Revision {
			ev := p.read(e.Key)
			ev.Status = dtstate.PlatformConflict
			reply(ev)
			return
		}
		p.write(e.Key, e.Value)
		reply(p.read(e.Key))
	case dtstate.PlatformWatch:
		if p.Values[e.Key].Revision != e.Revision {
			reply(p.read(e.Key))
			return
		}
		p.watches = append(p.watches, watch{key: e.Key, revision: e.Revision, reply: reply, expiresAt: p.sim.Now.Add(watchTimeout)})
	case dtstate.PlatformListHosts:
		reply(dtstate.PlatformCallCompleted{Status: dtstate.PlatformOK, Hosts: append([]dtstate.Host(nil), p.hosts...)})
	}
}

// UpdateHost adds or replaces an entry of the list of hosts after HostListLag.
func (p *Platform) UpdateHost(h dtstate.Host) {
	p.hostRevision++
	h.Revision = p.hostRevision
	p.sim.AfterFunc(p.sim.Settings.HostListLag, func() {
		for i := range p.hosts {
			if p.hosts[i].ID == h.ID {
				p.hosts[i] = h
				return
			}
		}
		p.hosts = append(p.hosts, h)
	})
}
