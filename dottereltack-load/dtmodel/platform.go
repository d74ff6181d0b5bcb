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

// platformWay is the one-way delay to the platform.
const platformWay = time.Millisecond

// watchWithin is how long a watch waits.
const watchWithin = 20 * time.Second

// Platform is the modelled key-value service and list of hosts.
type Platform struct {
	Down      bool
	LoseRatio float64 // Answers that are lost after the call took effect.
	DropRatio float64 // Calls that are lost before they take effect.
	Slow      time.Duration
	Calls     map[string]int
	Values    map[string]Stored
	rev       uint64
	hosts     []dtstate.Host
	hostRev   uint64
	sites     map[string]*dtconfig.Site
	watches   []watch
	world     *World
	cut       map[string]bool
}

// Stored is one key's value and revision.
type Stored struct {
	Rev   uint64
	Value []byte
}

// watch is a call that waits for a change.
type watch struct {
	key   string
	rev   uint64
	until time.Time
	reply func(dtstate.PlatformAnswered)
}

func newPlatform(w *World) *Platform {
	return &Platform{world: w, Calls: map[string]int{}, Values: map[string]Stored{}, sites: map[string]*dtconfig.Site{}, cut: map[string]bool{}}
}

// CutOff separates a failure domain from the platform, or heals it.
func (p *Platform) CutOff(domain string, cut bool) { p.cut[domain] = cut }

// putConfig makes site the first configuration.
func (p *Platform) putConfig(site *dtconfig.Site) {
	p.Apply(site, 1)
}

// Apply stores a configuration under a version, as an operator would.
func (p *Platform) Apply(site *dtconfig.Site, version uint64) {
	base := fmt.Appendf(nil, "site-%d", len(p.sites))
	p.sites[string(base)] = site
	p.write(dtstate.ConfigKey, dtstate.PlatformValue{Config: &dtstate.ConfigRecord{Version: version, Base: base, By: "model", AtMs: uint64(p.world.Now.UnixMilli())}})
}

// decode returns the offer of a record; the model knows each base by name.
func (p *Platform) decode(r *dtstate.ConfigRecord) dtstate.ConfigDecoded {
	site := p.sites[string(r.Base)]
	ev := dtstate.ConfigDecoded{Record: r, Site: site}
	if site == nil {
		ev.Problem = "unknown base"
	}
	return ev
}

// Record returns the configuration that the platform holds.
func (p *Platform) Record() *dtstate.ConfigRecord {
	var v dtstate.PlatformValue
	if json.Unmarshal(p.Values[dtstate.ConfigKey].Value, &v) != nil {
		return nil
	}
	return v.Config
}

// write stores a value whatever was there.
func (p *Platform) write(key string, v dtstate.PlatformValue) {
	body, err := json.Marshal(&v)
	if err != nil {
		panic(err)
	}
	p.rev++
	p.Values[key] = Stored{Rev: p.rev, Value: body}
	p.notify(key)
}

// notify answers the watches of a key.
func (p *Platform) notify(key string) {
	kept := p.watches[:0]
	for _, w := range p.watches {
		if w.key == key && p.Values[key].Rev != w.rev {
			w.reply(p.read(key))
			continue
		}
		kept = append(kept, w)
	}
	p.watches = kept
}

// keys returns the keys under a prefix in order.
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

// Rollback brings an older configuration back, as a store does that returns with an old
// copy.
func (p *Platform) Rollback(versions uint64) {
	r := p.Record()
	if r.Version <= versions {
		return
	}
	old := *r
	old.Version -= versions
	p.write(dtstate.ConfigKey, dtstate.PlatformValue{Config: &old})
}

// read returns the present value of a key.
func (p *Platform) read(key string) dtstate.PlatformAnswered {
	st := p.Values[key]
	ev := dtstate.PlatformAnswered{Status: dtstate.PlatformOK, Rev: st.Rev}
	if len(st.Value) > 0 {
		if err := json.NewDecoder(bytes.NewReader(st.Value)).Decode(&ev.Value); err != nil {
			panic(err)
		}
	}
	return ev
}

// call carries out a platform call and answers it, unless it or its answer is lost.
func (p *Platform) call(n *Node, e dtstate.PlatformCall) {
	w := p.world
	names := [...]string{"get", "put", "watch", "hosts"}
	p.Calls[names[e.Op]]++
	life := n.life
	answered := false
	reply := func(ev dtstate.PlatformAnswered) {
		if answered {
			return
		}
		answered = true
		ev.Call = e.Call
		n.onLife(life, ev)
	}
	lost := func() { reply(dtstate.PlatformAnswered{Status: dtstate.PlatformOutcomeUnknown}) }
	const patience = 1500 * time.Millisecond
	if e.Op != dtstate.PlatformWatch {
		w.After(patience, lost)
	} else {
		w.After(watchWithin, lost)
	}
	if p.Down || p.cut[n.Domain] || w.chance(p.DropRatio) {
		return
	}
	w.After(w.jitter(platformWay)+p.Slow, func() {
		p.serve(e, func(ev dtstate.PlatformAnswered) {
			if w.chance(p.LoseRatio) || p.cut[n.Domain] {
				return
			}
			w.After(w.jitter(platformWay)+p.Slow, func() { reply(ev) })
		})
	})
}

// serve gives a call its effect.
func (p *Platform) serve(e dtstate.PlatformCall, reply func(dtstate.PlatformAnswered)) {
	switch e.Op {
	case dtstate.PlatformGet:
		reply(p.read(e.Key))
	case dtstate.PlatformPut:
		if p.Values[e.Key].Rev != e.Rev {
			ev := p.read(e.Key)
			ev.Status = dtstate.PlatformConflict
			reply(ev)
			return
		}
		p.write(e.Key, e.Value)
		reply(p.read(e.Key))
	case dtstate.PlatformWatch:
		if p.Values[e.Key].Rev != e.Rev {
			reply(p.read(e.Key))
			return
		}
		p.watches = append(p.watches, watch{key: e.Key, rev: e.Rev, reply: reply, until: p.world.Now.Add(watchWithin)})
	case dtstate.PlatformHosts:
		reply(dtstate.PlatformAnswered{Status: dtstate.PlatformOK, Hosts: append([]dtstate.Host(nil), p.hosts...)})
	}
}

// List changes an entry of the list of hosts; it shows after the lag.
func (p *Platform) List(h dtstate.Host) {
	p.hostRev++
	h.Rev = p.hostRev
	p.world.After(p.world.Settings.HostsLag, func() {
		for i := range p.hosts {
			if p.hosts[i].ID == h.ID {
				p.hosts[i] = h
				return
			}
		}
		p.hosts = append(p.hosts, h)
	})
}
