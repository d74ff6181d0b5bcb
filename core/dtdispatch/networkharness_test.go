package dtdispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// Forms of a cut between a router and all servers.
const (
	cutSilent  = "silent"  // New connections hang, and so do requests on open ones.
	cutRefused = "refused" // New connections are refused; requests on open ones are lost.
	cutNew     = "new"     // New connections hang, open ones live on.
)

const (
	connectTimeout = 400 * time.Millisecond
	unackedTimeout = time.Second
	keptFor        = time.Minute // Age of connections that were open before.
)

// network plays the connections between the routers of a fleet and its servers.
type network struct {
	*fleet
	names    []string
	cut      map[string]string // Form of the cut by router.
	gone     map[dtdispatch.ServerID]bool
	silent   bool                                // All servers accept connections and send nothing.
	kept     map[string]bool                     // Routers that use connections that were open before the cut.
	due      []dueEvent                          // In the order in which they were planned.
	sends    map[string][]dtdispatch.SendRequest // By router.
	served   map[string]int                      // By router.
	refused  map[string][]dtdispatch.Refuse      // By router.
	opened   map[string]int                      // Tunnels opened, by router that was asked.
	declined map[string]int                      // Tunnels refused, likewise.
	checks   map[string]int                      // Direct checks, by router.
	logs     map[string][]dtdispatch.LogRecord   // By router.
	answer   dtdispatch.RefuseTunnel             // Last answer to a TunnelRequested; Number is zero if it was opened.
}

// dueEvent is an event that a router gets at a time.
type dueEvent struct {
	at   time.Time
	name string
	ev   dtdispatch.Event
}

// newNetwork returns a fleet whose routers have heard of each other and list n servers.
func newNetwork(t *testing.T, servers int, names ...string) *network {
	t.Helper()
	return newNetworkOf(newFleet(t, names...), servers, names)
}

func newNetworkOf(f *fleet, servers int, names []string) *network {
	n := &network{
		fleet: f, names: names, cut: map[string]string{}, gone: map[dtdispatch.ServerID]bool{}, kept: map[string]bool{}, sends: map[string][]dtdispatch.SendRequest{},
		served: map[string]int{}, refused: map[string][]dtdispatch.Refuse{}, opened: map[string]int{}, declined: map[string]int{}, checks: map[string]int{}, logs: map[string][]dtdispatch.LogRecord{},
	}
	f.store = testServers(servers)
	f.revision++
	f.onEffect = n.perform
	for _, name := range names {
		f.routers[name].step(dtdispatch.ConfigReceived{Config: testConfig(1)})
	}
	n.run(4 * time.Second)
	return n
}

// run advances the clock of all routers by d.
func (n *network) run(d time.Duration) {
	const tick = 50 * time.Millisecond
	for range int(d / tick) {
		n.fleet.run(tick, n.names...)
		n.deliver()
	}
}

// deliver delivers the events that are due.
func (n *network) deliver() {
	for {
		i := slices.IndexFunc(n.due, func(d dueEvent) bool { return !d.at.After(n.routers[d.name].now) })
		if i < 0 {
			return
		}
		d := n.due[i]
		n.due = slices.Delete(n.due, i, i+1)
		n.fleet.perform(d.name, n.routers[d.name].step(d.ev))
	}
}

// plan has a router get an event after a delay.
func (n *network) plan(name string, after time.Duration, ev dtdispatch.Event) {
	n.due = append(n.due, dueEvent{at: n.routers[name].now.Add(after), name: name, ev: ev})
}

// request delivers a request to a router.
func (n *network) request(name, path string, modifiers ...func(*dtdispatch.RequestArrived)) {
	r := n.routers[name]
	r.sendRequest(path, modifiers...)
	n.fleet.perform(name, r.effects)
	n.deliver()
}

// traffic sends four requests a second to each router for d.
func (n *network) traffic(d time.Duration, paths ...string) {
	const interval = 250 * time.Millisecond
	for i := range int(d / interval) {
		for _, name := range n.names {
			n.request(name, paths[i%len(paths)])
		}
		n.run(interval)
	}
}

// perform plays the effects that reach servers or other routers' tunnels.
func (n *network) perform(name string, e dtdispatch.Effect) {
	switch e := e.(type) {
	case dtdispatch.SendRequest:
		n.sends[name] = append(n.sends[name], e)
		n.send(name, &e)
	case dtdispatch.EndAttempt:
		n.plan(name, 0, n.ended(name, e.Number, dtdispatch.OutcomeTimedOut))
	case dtdispatch.KeepWaiting:
		last := n.lastSend(name, e.Number)
		n.wait(name, &last, e.Until)
	case dtdispatch.CheckServer:
		n.check(name, &e)
	case dtdispatch.Refuse:
		n.refused[name] = append(n.refused[name], e)
	case dtdispatch.OpenTunnel:
		n.answer = dtdispatch.RefuseTunnel{}
		n.opened[name]++
	case dtdispatch.RefuseTunnel:
		n.answer = e
		n.declined[name]++
	case dtdispatch.LogRecord:
		n.logs[name] = append(n.logs[name], e)
	}
}

func (n *network) lastSend(name string, number dtdispatch.RequestNumber) dtdispatch.SendRequest {
	for _, send := range slices.Backward(n.sends[name]) {
		if send.Number == number {
			return send
		}
	}
	return dtdispatch.SendRequest{}
}

func (n *network) ended(name string, number dtdispatch.RequestNumber, o dtdispatch.Outcome) dtdispatch.AttemptEnded {
	last := n.lastSend(name, number)
	return dtdispatch.AttemptEnded{Number: number, Attempt: last.Attempt, Outcome: o, ConnectedAt: n.routers[name].now.Add(-keptFor)}
}

// send plays an attempt.
func (n *network) send(name string, send *dtdispatch.SendRequest) {
	if len(send.Via) > 0 {
		n.sendVia(name, send)
		return
	}
	ended := dtdispatch.AttemptEnded{Number: send.Number, Attempt: send.Attempt}
	form, isKept := n.cut[name], n.kept[name]
	switch {
	case n.silent:
		n.wait(name, send, send.HeaderDeadline)
	case form == "" && n.gone[send.Server]:
		ended.Outcome = dtdispatch.OutcomeUnreachable
		n.plan(name, 0, ended)
	case isKept && form == cutSilent:
		n.wait(name, send, send.HeaderDeadline)
		n.plan(name, unackedTimeout, n.ended(name, send.Number, dtdispatch.OutcomeUnacknowledged))
	case isKept && form == cutRefused:
		ended.Outcome, ended.ConnectedAt = dtdispatch.OutcomeConnectionLost, n.routers[name].now.Add(-keptFor)
		n.plan(name, 0, ended)
	case isKept:
		n.complete(name, &ended, n.routers[name].now.Add(-keptFor))
	case form == cutRefused:
		ended.Outcome = dtdispatch.OutcomeUnreachable
		n.plan(name, 0, ended)
	case form != "":
		ended.Outcome = dtdispatch.OutcomeUnreachable
		n.plan(name, connectTimeout, ended)
	default:
		n.complete(name, &ended, n.routers[name].now)
	}
}

// wait plays a server that sends nothing until a time.
func (n *network) wait(name string, send *dtdispatch.SendRequest, until time.Time) {
	now := n.routers[name].now
	if until.Before(send.Deadline) {
		n.plan(name, until.Sub(now), dtdispatch.AttemptSilent{Number: send.Number, Attempt: send.Attempt})
		return
	}
	ended := n.ended(name, send.Number, dtdispatch.OutcomeExpired)
	n.plan(name, send.Deadline.Sub(now), ended)
}

func (n *network) complete(name string, ended *dtdispatch.AttemptEnded, connectedAt time.Time) {
	ended.Outcome, ended.Status, ended.ConnectedAt, ended.Progress = dtdispatch.OutcomeCompleted, 200, connectedAt, dtdispatch.ProgressHeader
	n.served[name]++
	n.plan(name, 0, *ended)
}

// sendVia plays an attempt over a tunnel.
func (n *network) sendVia(name string, send *dtdispatch.SendRequest) {
	ended := dtdispatch.AttemptEnded{Number: send.Number, Attempt: send.Attempt, Outcome: dtdispatch.OutcomeUnreachable}
	ended.Via, ended.FailedVia = n.openTunnel(name, send.Server, send.Via)
	switch {
	case ended.Via == "":
		n.plan(name, 0, ended)
	case n.cut[ended.Via] != "":
		n.plan(name, connectTimeout, ended)
		n.plan(ended.Via, connectTimeout, dtdispatch.TunnelDialed{Server: send.Server, StartedAt: n.routers[ended.Via].now})
	case n.gone[send.Server]:
		n.plan(name, 0, ended)
	default:
		n.complete(name, &ended, n.routers[name].now)
	}
}

// openTunnel asks routers in turn for a tunnel and returns the one that opens it and those that don't.
func (n *network) openTunnel(name string, id dtdispatch.ServerID, via []dtdispatch.Via) (opened string, failed []string) {
	server := n.routers[name].state.Roster.Servers[id]
	for _, v := range via {
		if n.down[v.Router] {
			failed = append(failed, v.Router)
			continue
		}
		r := n.routers[v.Router]
		n.fleet.perform(v.Router, r.step(dtdispatch.TunnelRequested{Number: 1, From: name, Server: id, Start: server.Start}))
		if n.answer.Number == 0 {
			return v.Router, failed
		}
		failed = append(failed, v.Router)
	}
	return "", failed
}

// check plays a check of a server.
func (n *network) check(name string, check *dtdispatch.CheckServer) {
	checked := dtdispatch.ServerChecked{Server: check.Server, Number: check.Number}
	from, delay := name, time.Duration(0)
	if len(check.Via) > 0 {
		checked.Via, _ = n.openTunnel(name, check.Server, check.Via)
		from = checked.Via
	} else {
		n.checks[name]++
	}
	switch {
	case from == "":
	case n.cut[from] == cutSilent || n.cut[from] == cutNew:
		delay = connectTimeout
	case n.cut[from] == cutRefused || n.gone[check.Server]:
		checked.Refused = true
	default:
		checked.Connected, checked.Answered = true, check.StatusPath != ""
	}
	n.plan(name, delay, checked)
}

// reset discards what has been counted.
func (n *network) reset() {
	clear(n.sends)
	clear(n.served)
	clear(n.refused)
	clear(n.opened)
	clear(n.declined)
	clear(n.checks)
	clear(n.logs)
}

// logged returns how often a router has logged an event.
func (n *network) logged(name, event string) int {
	count := 0
	for i := range n.logs[name] {
		if n.logs[name][i].Event == event {
			count++
		}
	}
	return count
}
