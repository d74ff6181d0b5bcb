package dtdispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

func TestCheck(t *testing.T) {
	g := NewWithT(t)
	g.Expect(testConfig(1).Check()).To(BeEmpty())

	bad := dtdispatch.NewConfig(1, []dtdispatch.Route{
		{Name: "r1", Host: "h", Prefix: "/a", Timeout: 1, Shares: []dtdispatch.Share{{Service: "x", Weight: 1}}},
		{Name: "r2", Host: "h", Prefix: "/b/", Shares: []dtdispatch.Share{{Service: "a", Weight: 1}}},
		{Name: "r3", Host: "h", Prefix: "/b/", Timeout: 1, Shares: []dtdispatch.Share{{Service: "a"}}},
	})
	bad.Services["a"] = dtdispatch.Service{Name: "a"}
	var texts []string
	for _, err := range bad.Check() {
		texts = append(texts, err.Error())
	}
	g.Expect(texts).To(ConsistOf(
		`route "r1": prefix: "/a" does not begin and end with a slash`,
		`route "r1": service: "x" is not among the services`,
		`route "r2": timeout: "0s" is not positive`,
		`route "r3": prefix: "/b/" is also used by route r2 on the same host`,
		`route "r3": service: "" cannot be selected because the share weights add up to zero`,
	))
}
