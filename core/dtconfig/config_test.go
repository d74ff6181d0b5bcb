package dtconfig_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtconfig"
)

const baseText = `{
  // base configuration of all sites
  "groups": {"poster-writer": {"kind": "engine", "max_inflight": 8}},
  "accounts": {"acc": {"key_digests": [], "weight": 2}},
  "failure_domains": {"centru-a": {"region": "ro-centru"}, "centru-b": {"region": "ro-centru"}},
}`

func parse(text, overlay string) (*dtconfig.Site, error) {
	return dtconfig.ParseSite(dtconfig.Source{File: "base.jsonc", Text: []byte(text)}, dtconfig.Source{File: "brasov.jsonc", Text: []byte(overlay)})
}

func TestOverlayMerge(t *testing.T) {
	g := NewWithT(t)
	site, err := parse(baseText, `{"groups": {"poster-writer": {"max_inflight": 4}}, "accounts": {"acc": null}}`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(site.Groups["poster-writer"].MaxInFlight).To(Equal(4))
	g.Expect(site.Groups["poster-writer"].Kind).To(Equal(dtconfig.KindEngine))
	g.Expect(site.Accounts).To(BeEmpty())
	g.Expect(site.Limits.LoadBound).To(Equal(dtconfig.DefaultLoadBound))
}

func TestInvalidConfiguration(t *testing.T) {
	g := NewWithT(t)
	cases := []struct{ overlay, want string }{
		{`{"limts": {}}`, "brasov.jsonc:1: limts: unknown field"},
		{"{\n\"limits\": {\"load_bound\": 0.5}}", "brasov.jsonc:2: limits.load_bound: must be between 1 and 10"},
		{`{"domains_out": ["centru-z"]}`, `brasov.jsonc:1: domains_out: unknown failure domain "centru-z"`},
		{`{"groups": {"poster-writer": {"max_inflight": "many"}}}`, "brasov.jsonc:1: groups.max_inflight: cannot use string as int value"},
		{`{"limits": {"policy": "best"}}`, `brasov.jsonc:1: limits.policy: unknown policy "best"`},
		{`{"accounts": {"acc": {"key_digests": ["abc"]}}}`, "brasov.jsonc:1: accounts.acc.key_digests: must be a SHA-256 digest in hexadecimal"},
	}
	for _, c := range cases {
		_, err := parse(baseText, c.overlay)
		g.Expect(err).To(MatchError(c.want))
		var fieldErr *dtconfig.FieldError
		g.Expect(errors.As(err, &fieldErr)).To(BeTrue())
	}
	_, err := parse("{\n  \"groups\": [}\n", "")
	g.Expect(err).To(MatchError(HavePrefix("base.jsonc:2: (syntax)")))
}

func TestHostSettings(t *testing.T) {
	g := NewWithT(t)
	text := `{"router": "a", "failure_domain": "d", "region": "r", "callers_address": "127.0.0.1:1", "peers_address": "%s",
"operators_address": "127.0.0.1:3", "platform_address": "127.0.0.1:4", "peer_keys": ["0123456789abcdef"]}`
	read := func(text string) (*dtconfig.Host, error) {
		return dtconfig.ParseHost(dtconfig.Source{File: "host.jsonc", Text: []byte(text)})
	}
	h, err := read(fmt.Sprintf(text, "127.0.0.1:2"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h.ShutdownTimeoutMs).To(Equal(dtconfig.DefaultShutdownTimeoutMs))
	_, err = read(fmt.Sprintf(text, "example.org:2"))
	g.Expect(err).To(MatchError(`host.jsonc:1: peers_address: "example.org:2" is not an IP address with a port`))
	_, err = read(`{"router": "a"}`)
	g.Expect(err).To(MatchError("host.jsonc:1: failure_domain: is missing"))
}

func ExampleParseSite() {
	site, err := parse(baseText, `{"limits": {"load_bound": 1.5}}`)
	fmt.Println(site.Limits.LoadBound, err)
	// Output: 1.5 <nil>
}
