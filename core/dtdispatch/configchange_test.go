package dtdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// invalidConfigs returns configurations that must not be put in force, by what is wrong with them.
func invalidConfigs(version int64) map[string]*dtdispatch.Config {
	changed := func(change func(c *dtdispatch.Config)) *dtdispatch.Config {
		c := testConfig(version)
		change(c)
		return c
	}
	ofRoute := func(change func(r *dtdispatch.Route)) *dtdispatch.Config {
		return changed(func(c *dtdispatch.Config) { change(&c.RoutesByHost["h.example"][0]) })
	}
	return map[string]*dtdispatch.Config{
		"no routes":                     {Version: version},
		"no services":                   changed(func(c *dtdispatch.Config) { c.Services = nil }),
		"a route to an unknown service": ofRoute(func(r *dtdispatch.Route) { r.Shares[0].Service = "x" }),
		"two routes with one prefix":    ofRoute(func(r *dtdispatch.Route) { r.Prefix = "/read/" }),
		"a negative timeout":            ofRoute(func(r *dtdispatch.Route) { r.Timeout = -1 }),
		"a negative latency objective":  ofRoute(func(r *dtdispatch.Route) { r.LatencyObjective = -1 }),
		"a negative limit":              changed(func(c *dtdispatch.Config) { c.Limits.IdleTimeout = -1 }),
	}
}

// TestInvalidConfigurationIsTaken guards against a router that puts a configuration in force by which it can't serve, as the store or
// a router of another build may deliver one: its callers are refused with 404 until the next version.
func TestInvalidConfigurationIsTaken(t *testing.T) {
	for name, config := range invalidConfigs(5) {
		for _, from := range []string{"", "r2"} {
			t.Run(name+" from "+from, func(t *testing.T) {
				r := newRouter(t, 2)
				r.step(dtdispatch.ConfigReceived{Config: config, From: from})
				r.Expect(effectsOf[dtdispatch.LogRecord](r.effects)).To(ContainElement(And(
					HaveField("Event", "configuration_rejected"), HaveField("Outcome", "invalid"), HaveField("ConfigVersion", int64(5)), HaveField("Detail", Not(BeEmpty())),
				)))
				r.sendRequest("/once/x")
				r.onlySend()
				r.step(dtdispatch.ConfigReceived{Config: testConfig(4)})
				r.Expect(r.state.Config.Version).To(BeEquivalentTo(4), "it does not hide valid ones")
			})
		}
	}
}

// TestConfigurationOfVersionZeroIsTaken guards against a router that starts with an empty document, and refuses all callers with 404.
func TestConfigurationOfVersionZeroIsTaken(t *testing.T) {
	r := newEmptyRouter(t, "r1")
	r.step(dtdispatch.ConfigReceived{Config: dtdispatch.NewConfig(0, nil)})
	r.Expect(r.state.Config).To(BeNil())
}

// TestRejectedConfigurationIsLogged checks that the log tells why a configuration is not in force, once.
func TestRejectedConfigurationIsLogged(t *testing.T) {
	r := newRouter(t, 2)
	r.step(dtdispatch.ConfigReceived{Config: testConfig(7)})
	other := testConfig(7)
	other.Source = []byte("other")
	rejections := func(ev dtdispatch.Event) []string {
		var reasons []string
		for _, record := range effectsOf[dtdispatch.LogRecord](r.step(ev)) {
			if record.Event == "configuration_rejected" {
				reasons = append(reasons, record.Subject+" "+record.Outcome)
			}
		}
		return reasons
	}
	r.Expect(rejections(dtdispatch.ConfigReceived{Config: testConfig(7)})).To(BeEmpty(), "read again")
	r.Expect(rejections(dtdispatch.ConfigReceived{Config: testConfig(6)})).To(Equal([]string{"store older"}))
	r.Expect(rejections(dtdispatch.ConfigReceived{Config: testConfig(6)})).To(BeEmpty(), "read again")
	r.Expect(rejections(dtdispatch.ConfigReceived{Config: testConfig(6), From: "r2"})).To(BeEmpty(), "a newer one has arrived since it was requested")
	r.Expect(rejections(dtdispatch.ConfigReceived{Config: other})).To(Equal([]string{"store conflicting"}))
	r.Expect(rejections(dtdispatch.ConfigUnreadable{From: "r2", Detail: "x"})).To(Equal([]string{"r2 unreadable"}))
	r.Expect(r.state.Config.Source).To(Equal([]byte("7")))
}

// TestRejectedConfigurationIsRequestedAgain guards against a router that asks another one again and again for a configuration that
// it has rejected, which may be large, and not for that of a third one.
func TestRejectedConfigurationIsRequestedAgain(t *testing.T) {
	r := newRouter(t, 2)
	requested := func(from string, version int64) bool {
		r.step(dtdispatch.PeerMessageReceived{From: from, Message: &dtdispatch.PeerStatus{
			From: from, Domain: "d0", Start: 1, OperatorNews: dtdispatch.OperatorNews{ConfigVersion: version},
		}})
		for _, send := range effectsOf[dtdispatch.SendToPeers](r.effects) {
			if m, ok := send.Message.(*dtdispatch.SyncRequest); ok && m.WantsConfig && send.To == from {
				return true
			}
		}
		return false
	}
	r.Expect(requested("r2", 9)).To(BeTrue())
	r.step(dtdispatch.ConfigUnreadable{From: "r2"})
	r.advance(time.Second)
	r.Expect(requested("r2", 9)).To(BeFalse())
	r.Expect(requested("r3", 9)).To(BeTrue())
	r.advance(time.Second)
	r.Expect(requested("r2", 10)).To(BeTrue(), "another version")
}
