package dtexplain_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/dottereltack/dtexplain"
)

const refusalLog = `time=2026-12-04T10:00:03.000Z level=info msg=event router=r1 step=request request=q3 outcome="refused busy" status=503 account=a1
time=2026-12-04T10:00:01.000Z level=info msg=event router=r1 step=request request=q1 outcome=served status=200
time=2026-12-04T10:00:02.000Z level=info msg=event router=r2 step=request request=q2 outcome="refused server_lost" status=502 account=a2
time=2026-12-04T10:00:04.000Z level=info msg=event router=r3 step=refused refusal=r3/abc/1 request=q4 account=a1 reason=queue_full ran=not_run
time=2026-12-04T10:00:05.000Z level=warn msg=event step=log_dropped lines=7
`

func TestRefusals(t *testing.T) {
	g := NewWithT(t)
	lines, err := dtexplain.Read(strings.NewReader(refusalLog))
	g.Expect(err).NotTo(HaveOccurred())

	all := dtexplain.CollectRefusals(lines, func(*dtexplain.RefusedRequest) bool { return true })
	g.Expect(all.Items).To(HaveLen(3))
	g.Expect(all.Items[0]).To(And(HaveField("Request", "q2"), HaveField("Reason", "server_lost"), HaveField("Ran", "unknown")))
	g.Expect(all.Items[1]).To(And(HaveField("Request", "q3"), HaveField("Ran", "not_run")))
	g.Expect(all.Items[2]).To(And(HaveField("Refusal", "r3/abc/1"), HaveField("Reason", "queue_full"), HaveField("Account", "a1")))
	g.Expect(all.Dropped).To(Equal(7), "the number of missing log lines is reported")

	one := dtexplain.CollectRefusals(lines, func(r *dtexplain.RefusedRequest) bool { return r.Account == "a1" })
	g.Expect(one.Items).To(HaveLen(2))
	var b strings.Builder
	g.Expect(one.Write(&b)).To(Succeed())
	g.Expect(b.String()).To(And(ContainSubstring("total busy"), ContainSubstring("log lines dropped by routers")))
}
