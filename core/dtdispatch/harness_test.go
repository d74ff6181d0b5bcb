package dtdispatch_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// bounds are the bounds of the tested routers; omitted ones take their defaults.
var bounds = dtdispatch.Bounds{
	RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 56,
	ColdFactor: 1.5, ColdTolerance: 5, ShutdownTimeout: 8 * time.Second,
}

// router runs one reducer in simulated time.
type router struct {
	*WithT
	state      *dtdispatch.State
	now        time.Time
	effects    []dtdispatch.Effect
	lastNumber dtdispatch.RequestNumber
}

// newRouter returns a router with a configuration and servers of service "a", alternating
// between the failure domains d0 and d1.
func newRouter(t *testing.T, servers int) *router {
	t.Helper()
	r := newEmptyRouter(t, "r1")
	r.step(dtdispatch.ConfigReceived{Config: testConfig(1)})
	r.listServers(1, testServers(servers)...)
	return r
}

// newEmptyRouter returns a router of failure domain d0 in its initial state.
func newEmptyRouter(t *testing.T, name string) *router {
	t.Helper()
	return newRouterInDomain(t, name, "d0")
}

// newRouterInDomain returns a router of the given failure domain in its initial state.
func newRouterInDomain(t *testing.T, name, domain string) *router {
	t.Helper()
	now := time.UnixMilli(1_700_000_000_000)
	return newRouterAt(t, name, domain, now, now.UnixMilli())
}

// newRouterAt returns a router that starts at now, which is start by its clock.
func newRouterAt(t *testing.T, name, domain string, now time.Time, start int64) *router {
	t.Helper()
	state := dtdispatch.New(dtdispatch.Settings{
		RouterName: name, Address: name + ":1", OwnAddresses: []string{"10.9.9.9:80"}, Domain: domain, Bounds: bounds, Start: start, Regions: map[string]string{"d0": "east", "d1": "east"},
		IsFirstStart: true,
	}, now)
	state.Membership.IsNew = true
	return &router{WithT: NewWithT(t), state: state, now: now}
}

// step applies an event and stores a copy of its effects, which Step reuses, in r.effects.
func (r *router) step(ev dtdispatch.Event) []dtdispatch.Effect {
	r.effects = append([]dtdispatch.Effect(nil), r.state.Step(ev, r.now)...)
	if _, isTimer := ev.(dtdispatch.TimerFired); isTimer {
		for _, timer := range effectsOf[dtdispatch.SetTimer](r.effects) {
			r.Expect(timer.At).To(BeTemporally(">", r.now), "a timer in the past would make the loop spin")
		}
	}
	return r.effects
}

// advance advances the time by d in steps of 50 ms, each with a TimerFired event, and
// returns the effects of all steps.
func (r *router) advance(d time.Duration) []dtdispatch.Effect {
	var all []dtdispatch.Effect
	const tick = 50 * time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(tick)
		all = append(all, r.step(dtdispatch.TimerFired{})...)
	}
	return all
}

func (r *router) listServers(revision dtdispatch.Revision, servers ...dtdispatch.Server) {
	r.step(dtdispatch.ServersListed{Servers: servers, Revision: revision})
}

// sendRequest delivers a request from a caller and returns its number.
func (r *router) sendRequest(path string, modifiers ...func(*dtdispatch.RequestArrived)) dtdispatch.RequestNumber {
	r.lastNumber++
	ev := dtdispatch.RequestArrived{
		Number: r.lastNumber, ID: strconv.Itoa(int(r.lastNumber)), Host: "h.example", Path: path, APIKey: "k1",
		Digest: uint64(r.lastNumber), HeaderReadAt: r.now, CallerTimeout: 10 * time.Second,
	}
	for _, modify := range modifiers {
		modify(&ev)
	}
	r.step(ev)
	return r.lastNumber
}

func (r *router) endAttempt(n dtdispatch.RequestNumber, attempt int, o dtdispatch.Outcome, modifiers ...func(*dtdispatch.AttemptEnded)) {
	ev := dtdispatch.AttemptEnded{Number: n, Attempt: attempt, Outcome: o}
	for _, modify := range modifiers {
		modify(&ev)
	}
	r.step(ev)
}

// crashServer ends the first attempt of a request with a crash of its server. The others that are checked then live.
func (r *router) crashServer(n dtdispatch.RequestNumber) {
	crashed := r.state.Requests[n].Server
	r.endAttempt(n, 1, dtdispatch.OutcomeConnectionLost)
	for checks := effectsOf[dtdispatch.CheckServer](r.effects); len(checks) > 0; checks = checks[1:] {
		id := checks[0].Server
		checks = append(checks, effectsOf[dtdispatch.CheckServer](r.step(dtdispatch.ServerChecked{Server: id, Connected: id != crashed, Refused: id == crashed}))...)
	}
}

// onlySend returns the SendRequest effect of the last step, which must be the only one.
func (r *router) onlySend() dtdispatch.SendRequest {
	sends := effectsOf[dtdispatch.SendRequest](r.effects)
	r.Expect(sends).To(HaveLen(1))
	return sends[0]
}

// onlyRefusal returns the Refuse effect of the last step, which must be the only one, without
// any SendRequest effect.
func (r *router) onlyRefusal() dtdispatch.Refuse {
	refusals := effectsOf[dtdispatch.Refuse](r.effects)
	r.Expect(refusals).To(HaveLen(1))
	r.Expect(effectsOf[dtdispatch.SendRequest](r.effects)).To(BeEmpty())
	return refusals[0]
}

func effectsOf[T dtdispatch.Effect](effects []dtdispatch.Effect) []T {
	var list []T
	for _, e := range effects {
		if one, ok := e.(T); ok {
			list = append(list, one)
		}
	}
	return list
}

// testConfig returns a configuration with one route of each kind.
func testConfig(version int64) *dtdispatch.Config {
	route := func(prefix string, modify func(*dtdispatch.Route)) dtdispatch.Route {
		r := dtdispatch.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Timeout: 5 * time.Second, LatencyObjective: 100 * time.Millisecond,
			MaxAttempts: 2, Shares: []dtdispatch.Share{{Service: "a", Weight: 1}},
		}
		modify(&r)
		return r
	}
	config := dtdispatch.NewConfig(version, []dtdispatch.Route{
		route("/once/", func(r *dtdispatch.Route) {}),
		route("/once/deep/", func(r *dtdispatch.Route) { r.Idempotent = true }),
		route("/read/", func(r *dtdispatch.Route) { r.Idempotent = true }),
		route("/open/", func(r *dtdispatch.Route) { r.Public = true }),
		route("/single/", func(r *dtdispatch.Route) { r.MaxAttempts = 1 }),
		route("/stream/", func(r *dtdispatch.Route) { r.Streaming, r.Resumable, r.Affinity = true, true, true }),
		route("/live/", func(r *dtdispatch.Route) { r.Streaming, r.Affinity = true, true }),
	})
	config.Services["a"] = dtdispatch.Service{Name: "a", MaxConnections: 100, ColdRate: 10, StatusPath: "/status", NamesStart: true}
	config.AccountsByKey = map[string]dtdispatch.Account{"k1": {Name: "acme", Priority: -1}, "k2": {Name: "urgent", Priority: 0}}
	config.Source = []byte(strconv.FormatInt(version, 10))
	return config
}

// testServers returns n servers of service "a".
func testServers(n int) []dtdispatch.Server {
	list := make([]dtdispatch.Server, n)
	for i := range list {
		list[i] = dtdispatch.Server{
			ID: dtdispatch.ServerID(fmt.Sprintf("s%d", i)), Service: "a", Address: fmt.Sprintf("10.0.0.%d:80", i),
			Domain: fmt.Sprintf("d%d", i%2), Slots: 8, Start: 1, Seq: 1,
		}
	}
	return list
}

// withPrompt gives a request a prompt of three parts: the first is common to all requests, the
// second has the ID shared, and the third is unique.
func withPrompt(shared uint64) func(*dtdispatch.RequestArrived) {
	return func(ev *dtdispatch.RequestArrived) {
		ev.PromptParts = []dtdispatch.PromptPart{{ID: 1, Tokens: 500}, {ID: shared, Tokens: 10000}, {ID: 1 << 40 * uint64(ev.Number), Tokens: 100}}
	}
}
