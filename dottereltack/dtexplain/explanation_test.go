package dtexplain_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/dottereltack/dtexplain"
)

const routerLog = `   1.0 host time=2026-12-04T10:00:01.000Z level=info msg=event router=r1 step=configuration site=7 detail="in force"
time=2026-12-04T10:00:02.000Z level=info msg=event router=r1 step=server_listed peer=s1 detail=10.0.0.1:80
time=2026-12-04T10:00:02.500Z level=info msg=event router=r1 step=server_listed peer=s2 detail=10.0.0.2:80
time=2026-12-04T10:00:03.000Z level=info msg=event router=r1 step=configuration site=9 detail="in force"
time=2026-12-04T10:00:09.000Z level=info msg=event router=r1 step=configuration site=11 detail="in force"
time=2026-12-04T10:00:05.000Z level=warn msg=event router=r1 step=attempt request=q1 peer=s1 outcome=cut attempt=1 ms=20 detail="connection reset"
time=2026-12-04T10:00:05.001Z level=warn msg=event router=r1 step=request request=q1 peer=s1 outcome="refused server_lost" status=502 attempt=1 ms=21 kind=once
time=2026-12-04T10:00:06.000Z level=warn msg=event router=r2 step=request request=q2 outcome="refused no_server" status=503 ms=0 kind=once
garbage
time=2026-12-04T10:00:06.500Z level=info msg=event router=r2 step=domain_out peer=d1
`

func TestExplain(t *testing.T) {
	g := NewWithT(t)
	lines, err := dtexplain.Read(strings.NewReader(routerLog))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(lines).To(HaveLen(9))

	explanation := dtexplain.Explain(lines, "q1")
	g.Expect(explanation.Lines).To(HaveLen(2))
	g.Expect(explanation.Cause).To(ContainSubstring("may have run"))
	g.Expect(explanation.Cause).To(ContainSubstring("cut at server s1 (connection reset)"))
	g.Expect(explanation.StateLines).To(HaveLen(2))
	g.Expect(explanation.StateLines[0].Text).To(ContainSubstring("site=9"), "the newest line before the end of the request")
	g.Expect(explanation.StateLines[1].Peer).To(Equal("s1"))

	other := dtexplain.Explain(lines, "q2")
	g.Expect(other.Cause).To(HavePrefix("no server of the service"))
	g.Expect(other.StateLines).To(BeEmpty(), "later lines and lines of other routers are left out")

	none := dtexplain.Explain(lines, "q3")
	var b strings.Builder
	g.Expect(none.Write(&b)).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring("no log line mentions it"))
	b.Reset()
	g.Expect(explanation.Write(&b)).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring("2.001s"), "the age of the configuration")
}
