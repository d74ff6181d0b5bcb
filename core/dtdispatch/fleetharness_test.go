package dtdispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// fleet connects reducers: it delivers their messages along the links that they requested
// and simulates the store.
type fleet struct {
	links        map[string]map[string]string // By router: link addresses by peer name.
	onward       map[string]map[string]string // Likewise, of links for messages to one router.
	messagesSent map[string]int               // By router.
	bytesSent    map[string]int               // Encoded size of the messages sent, by router.
	routers      map[string]*router
	listCalls    map[string]int
	readRevision map[string]dtdispatch.Revision // Revision of the last server list read, by router.
	waitingUntil map[string]time.Time           // Time when each pending ListServers call must return, by router.
	store        []dtdispatch.Server            // Servers listed in the store; nil while the store is down.
	revision     dtdispatch.Revision
	down         map[string]bool // Routers that have crashed.
	cores        map[string]float64
	rejected     map[string]bool // Routers whose calls the store rejects.
	operators    operatorStore
	record       *dtdispatch.VersionRecord                        // Of the versions of streams; nil if there is none.
	exceptions   map[string]map[string]dtdispatch.StreamException // Of that record, by router.
	recordWrites int
	configsSent  int             // By all routers.
	isReadOnly   bool            // The store takes no writes of that record.
	unlisted     map[string]bool // Routers whose entries in the store have lapsed.
	isolated     map[string]bool // Routers whose messages, from and to, are lost.
	sides        map[string]int  // Messages between routers of different sides are lost.
	dropsConfigs bool            // Configurations that routers send each other are lost.
	dropsRosters bool            // Lists of servers that routers send each other are lost.
	clocks       clockOffsets
	builds       map[string]build // Of routers that run an earlier build.
	onForward    func(name string, n dtdispatch.RequestNumber)
	onSend       func(name string, send *dtdispatch.SendRequest)
	onEffect     func(name string, e dtdispatch.Effect) // Called with each effect before it is carried out.
}

// operatorStore holds the operators' keys of a simulated store.
type operatorStore struct {
	config       *dtdispatch.Config
	outOfService []string
	revision     dtdispatch.Revision
	calls        map[string]int                 // By router.
	readRevision map[string]dtdispatch.Revision // Revision that each router has read.
	waitingUntil map[string]time.Time           // Time when each pending call must return, by router.
}

// endCall ends the pending call of a router, if there is one, once something has changed, the store does
// not respond to the router or the wait is over.
func (f *fleet) endCall(name string, waitingUntil map[string]time.Time, unchanged bool) (ended, unavailable bool) {
	until, waits := waitingUntil[name]
	unavailable = f.store == nil || f.rejected[name]
	if !waits || !unavailable && unchanged && f.routers[name].now.Before(until) {
		return false, unavailable
	}
	delete(waitingUntil, name)
	return true, unavailable
}

// replace has a router start anew with nothing in memory.
func (f *fleet) replace(name string, r *router) {
	f.routers[name] = r
	delete(f.readRevision, name)
	delete(f.operators.readRevision, name)
	delete(f.waitingUntil, name)
	delete(f.operators.waitingUntil, name)
	delete(f.links, name)
	delete(f.onward, name)
}

// completeOperatorCall completes the pending ReadOperatorKeys call of a router if the keys have
// changed, the store does not respond to the router or the wait is over.
func (f *fleet) completeOperatorCall(name string) {
	r, o := f.routers[name], &f.operators
	unchanged := o.readRevision[name] == o.revision
	ended, unavailable := f.endCall(name, o.waitingUntil, unchanged)
	if !ended {
		return
	}
	if unavailable {
		f.perform(name, r.step(dtdispatch.OperatorKeysFailed{Detail: "down"}))
		return
	}
	if !unchanged {
		o.readRevision[name] = o.revision
		f.perform(name, r.step(dtdispatch.ConfigReceived{Config: o.config}))
		f.perform(name, r.step(dtdispatch.DomainsOutOfServiceListed{Domains: o.outOfService, Revision: o.revision}))
	}
	f.perform(name, r.step(dtdispatch.OperatorKeysRead{Unchanged: unchanged}))
}

// newFleet returns a fleet of routers in one failure domain.
func newFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	f := &fleet{readRevision: map[string]dtdispatch.Revision{}, waitingUntil: map[string]time.Time{}, links: map[string]map[string]string{}, onward: map[string]map[string]string{}, messagesSent: map[string]int{}, bytesSent: map[string]int{}, routers: map[string]*router{}, listCalls: map[string]int{}, store: testServers(4), revision: 1, down: map[string]bool{}, exceptions: map[string]map[string]dtdispatch.StreamException{}}
	f.operators = operatorStore{config: testConfig(1), revision: 1, calls: map[string]int{}, readRevision: map[string]dtdispatch.Revision{}, waitingUntil: map[string]time.Time{}}
	for _, name := range names {
		f.routers[name] = newEmptyRouter(t, name)
	}
	return f
}

// run advances the clock of the named routers by d.
func (f *fleet) run(d time.Duration, names ...string) {
	const tick = 50 * time.Millisecond
	for range int(d / tick) {
		for _, name := range names {
			if r := f.routers[name]; !f.down[name] {
				f.perform(name, r.advance(tick))
				f.completeListCall(name)
				f.completeOperatorCall(name)
			}
		}
	}
}

func (f *fleet) perform(from string, effects []dtdispatch.Effect) {
	for _, e := range effects {
		if f.onEffect != nil {
			f.onEffect(from, e)
		}
		switch e := e.(type) {
		case dtdispatch.ListServers:
			f.listCalls[from]++
			f.waitingUntil[from] = f.routers[from].now.Add(e.Wait)
			f.completeListCall(from)
		case dtdispatch.ReadOperatorKeys:
			f.operators.calls[from]++
			f.operators.waitingUntil[from] = f.routers[from].now.Add(e.Wait)
			f.completeOperatorCall(from)
		case dtdispatch.DecodeConfig:
			version, err := strconv.ParseInt(string(e.Source), 10, 64)
			f.routers[from].Expect(err).NotTo(HaveOccurred())
			config := testConfig(version)
			config.Source = e.Source
			f.perform(from, f.routers[from].step(dtdispatch.ConfigReceived{Config: config, From: e.From}))
		case dtdispatch.ListRouters:
			if f.store != nil && !f.rejected[from] {
				f.perform(from, f.routers[from].step(f.routersListed()))
			}
		case dtdispatch.ReadVersionRecord:
			f.readRecord(from)
		case dtdispatch.WriteVersionRecord:
			f.writeRecord(from, &e)
		case dtdispatch.SendRequest:
			if f.onSend != nil {
				f.onSend(from, &e)
			}
		case dtdispatch.ForwardStream:
			if f.onForward != nil {
				f.onForward(from, e.Number)
			}
		case dtdispatch.SetPeerLinks:
			f.links[from], f.onward[from] = e.Addresses, e.Onward
		case dtdispatch.SendToPeers:
			f.sendMessage(from, &e)
		}
	}
}

// writeRecord carries out a WriteVersionRecord effect.
func (f *fleet) writeRecord(name string, e *dtdispatch.WriteVersionRecord) {
	r := f.routers[name]
	if !f.builds[name].writes(e.Part) {
		f.perform(name, r.step(dtdispatch.VersionRecordWritten{Part: e.Part}))
		return
	}
	if f.store == nil || f.rejected[name] || f.isReadOnly {
		f.perform(name, r.step(dtdispatch.VersionRecordFailed{IsWrite: true, Part: e.Part, Detail: "down"}))
		return
	}
	if f.record == nil {
		f.record = &dtdispatch.VersionRecord{}
	}
	f.recordWrites++
	written := f.clocks.toWall(name, &e.Record)
	if f.builds[name] == noTimes {
		written.Clock = dtdispatch.RecordClock{}
	}
	switch e.Part {
	case dtdispatch.PartMixes:
		written.Exceptions, written.Unrecorded = f.record.Exceptions, f.record.Unrecorded
		*f.record = written
	case dtdispatch.PartUnrecorded:
		f.record.Unrecorded = written.Unrecorded
	default:
		f.exceptions[name] = written.Exceptions
	}
	f.perform(name, r.step(dtdispatch.VersionRecordWritten{Part: e.Part}))
}

// readRecord responds to a ReadVersionRecord effect.
func (f *fleet) readRecord(name string) {
	r := f.routers[name]
	switch {
	case f.store == nil || f.rejected[name]:
		f.perform(name, r.step(dtdispatch.VersionRecordFailed{Detail: "down"}))
	case f.record == nil:
		f.perform(name, r.step(dtdispatch.VersionRecordRead{}))
	default:
		record := *f.record
		record.Exceptions = map[string]dtdispatch.StreamException{}
		for _, exceptions := range f.exceptions {
			for id, exception := range exceptions {
				exception.IsOwn = false
				record.Exceptions[id] = exception
			}
		}
		f.perform(name, r.step(dtdispatch.VersionRecordRead{Record: f.clocks.fromWall(name, &record)}))
	}
}

// completeListCall completes the pending ListServers call of a router if the list has changed,
// the store is down or the wait is over.
func (f *fleet) completeListCall(name string) {
	r := f.routers[name]
	unchanged := f.readRevision[name] == f.revision
	ended, unavailable := f.endCall(name, f.waitingUntil, unchanged)
	if !ended {
		return
	}
	if unavailable {
		f.perform(name, r.step(dtdispatch.ListServersFailed{Detail: "down"}))
		return
	}
	f.readRevision[name] = f.revision
	list := append([]dtdispatch.Server(nil), f.store...)
	f.perform(name, r.step(dtdispatch.ServersListed{Servers: list, Revision: f.revision, Unchanged: unchanged}))
}

// routersListed returns the store's list of routers: all that have not crashed.
func (f *fleet) routersListed() dtdispatch.RoutersListed {
	ev := dtdispatch.RoutersListed{}
	for name, r := range f.routers {
		if !f.down[name] && !f.unlisted[name] {
			ev.Routers = append(ev.Routers, dtdispatch.Router{Name: name, Address: name + ":1", Domain: r.state.Settings.Domain, Cores: f.cores[name], Features: f.builds[name].features()})
		}
	}
	return ev
}

// sendMessage delivers a message along the links of a router.
func (f *fleet) sendMessage(from string, e *dtdispatch.SendToPeers) {
	encoded, err := msgpack.Marshal(e.Message)
	f.routers[from].Expect(err).NotTo(HaveOccurred())
	message := f.builds[from].sent(e.Message)
	switch e.Message.(type) {
	case *dtdispatch.ConfigReply:
		f.configsSent++
		if f.dropsConfigs {
			return
		}
	case *dtdispatch.RosterReply, *dtdispatch.RosterDelta:
		if f.dropsRosters {
			return
		}
	}
	for _, name := range f.targets(from, e.To) {
		f.messagesSent[from]++
		f.bytesSent[from] += len(encoded)
		if f.builds[from] == noVersions && message == nil || f.builds[name] == noVersions && noVersions.sent(message) == nil {
			continue
		}
		if !f.down[name] && !f.isolated[name] && !f.isolated[from] && f.sides[name] == f.sides[from] {
			f.perform(name, f.routers[name].step(dtdispatch.PeerMessageReceived{Message: f.clocks.sent(message, from, name)}))
		}
	}
}

// targets returns the routers that a message to one router, or to all if that is "", is sent to.
func (f *fleet) targets(from, to string) []string {
	if to == "" {
		return slices.Collect(maps.Keys(f.links[from]))
	}
	if f.links[from][to] == "" && f.onward[from][to] == "" {
		return nil
	}
	return []string{to}
}

// goBack has the store come back from a copy as of which its counter stood at number. Its contents stay
// as they are until the test changes them.
func (f *fleet) goBack(number uint64) {
	f.revision = dtdispatch.NewRevision(f.revision.Era()+1, number)
	f.operators.revision = f.revision
}

// newLargeFleet returns n routers in three failure domains, after their links have been set up.
func newLargeFleet(t *testing.T, n int) (*fleet, []string) {
	t.Helper()
	f := newFleet(t)
	var names []string
	for i := range n {
		name := fmt.Sprintf("r%03d", i)
		names = append(names, name)
		f.routers[name] = newRouterInDomain(t, name, fmt.Sprintf("d%d", i%3))
		f.routers[name].step(dtdispatch.ConfigReceived{Config: testConfig(1)})
	}
	f.run(6*time.Second, names...)
	return f, names
}
