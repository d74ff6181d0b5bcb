package dtfleet_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtcaller"
	"github.com/dottereltack/dottereltack/dottereltack-load/dtfleet"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtcrowd"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtprocess"
)

// Limits of the router, and sizes of the crowds. The bounds are the limits themselves.
const (
	intakeMemoryMB       = 64
	intakeDescriptors    = 1_800
	reservedDescriptors  = 200 // Of those, for files.
	intakeBodyBytes      = 1 << 20
	crowdOfBodies        = 100
	crowdOfPipelines     = 330
	crowdRounds          = 3
	crowdSendTime        = 20 * time.Second // At most, until the crowd is taken to have sent what it can.
	intakeAnswerTime     = 30 * time.Second // For a request of the full size; it may be refused until then.
	intakeSampleInterval = 10 * time.Millisecond
)

// crowdTarget returns the target of a crowd at an address.
func crowdTarget(address string) dtcrowd.Target {
	return dtcrowd.Target{Address: address, BodyBytes: intakeBodyBytes, Head: func(string) string {
		return "POST " + dtapi.PathServices + "/franchise-desk/stock HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + dtfleet.AccountKey("acc-0") + "\r\n"
	}}
}

// TestCrowds guards against a process that is killed for its memory, or runs out of descriptors, as many clients at once send bodies that
// they do not end, bodies over the limit, heads without an end, or more bytes behind a request that runs, or do not read.
func TestCrowds(t *testing.T) {
	for name, tc := range map[string]struct {
		address func(r *dtfleet.Router) string
		groups  []dtcrowd.Group
	}{
		"large chunk":               {callersOf, []dtcrowd.Group{{Size: crowdOfBodies, Form: dtcrowd.LargeChunk}}},
		"one-byte chunks":           {callersOf, []dtcrowd.Group{{Size: crowdOfBodies, Form: dtcrowd.OneByteChunks}}},
		"over the limit, chunked":   {callersOf, []dtcrowd.Group{{Size: crowdOfBodies, Form: dtcrowd.OverLimitChunked}}},
		"over the limit, announced": {callersOf, []dtcrowd.Group{{Size: crowdOfBodies, Form: dtcrowd.OverLimitAnnounced}}},
		"announced only":            {callersOf, []dtcrowd.Group{{Size: crowdOfPipelines, Form: dtcrowd.AnnouncedOnly}}},
		"announced chunk":           {callersOf, []dtcrowd.Group{{Size: crowdOfPipelines, Form: dtcrowd.AnnouncedChunk}}},
		"endless heads":             {callersOf, []dtcrowd.Group{{Size: crowdOfPipelines, Form: dtcrowd.EndlessHead}}},
		"unread responses":          {callersOf, []dtcrowd.Group{{Size: crowdOfBodies, Form: dtcrowd.UnreadResponse}}},
		"behind requests":           {callersOf, []dtcrowd.Group{{Size: crowdOfPipelines, Form: dtcrowd.BehindRequest}}},
		"at the port of peers":      {peersOf, []dtcrowd.Group{{Size: crowdOfPipelines, Form: dtcrowd.Flood}, {Size: crowdOfBodies, Form: dtcrowd.LargeChunk}}},
		"at the port of operators":  {operatorsOf, []dtcrowd.Group{{Size: crowdOfPipelines, Form: dtcrowd.BehindRequest}, {Size: crowdOfBodies, Form: dtcrowd.LargeChunk}}},
	} {
		t.Run(name, func(t *testing.T) { playCrowd(t, tc.address, tc.groups) })
	}
}

// TestRefusedOrdersOfACrowdHaveNotRun guards against a refusal of a crowd's order that is not true, and against an order that runs twice.
func TestRefusedOrdersOfACrowdHaveNotRun(t *testing.T) {
	g := NewWithT(t)
	f := startLimitedFleet(t, intakeTopology())
	target := crowdTarget(f.Routers[0].Host.CallersAddress)
	var mu sync.Mutex // Guards the next two.
	keys, statuses := map[string]string{}, map[string]int{}
	target.Head = func(id string) string {
		mu.Lock()
		defer mu.Unlock()
		keys[id] = dtcaller.NewIdempotencyKey()
		return "POST " + dtapi.PathServices + "/franchise-desk/print HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + dtfleet.AccountKey("acc-0") +
			"\r\n" + dtapi.HeaderIdempotencyKey + ": " + keys[id] + "\r\n"
	}
	target.Responded = func(id string, status int) {
		mu.Lock()
		defer mu.Unlock()
		statuses[id] = status
	}
	crowd := dtcrowd.Start(target, crowdRounds, dtcrowd.Group{Size: crowdOfBodies, Form: dtcrowd.UnreadResponse}, dtcrowd.Group{Size: crowdOfBodies, Form: dtcrowd.BehindRequest},
		dtcrowd.Group{Size: crowdOfBodies, Form: dtcrowd.LargeChunk}, dtcrowd.Group{Size: crowdOfBodies, Form: dtcrowd.OverLimitAnnounced})
	crowd.AwaitSent(crowdSendTime)
	crowd.Leave()
	counters, err := f.StandCounters()
	g.Expect(err).NotTo(HaveOccurred())
	counts := map[int]int{}
	for id, key := range keys {
		counts[statuses[id]]++
		g.Expect(counters.RunCounts[key]).To(BeNumerically("<=", 1), "%s has run more than once", id)
		switch statuses[id] {
		case http.StatusOK:
			g.Expect(counters.RunCounts[key]).To(Equal(1), "%s was answered and has not run", id)
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
			g.Expect(counters.RunCounts[key]).To(BeZero(), "%s was refused with %d and has run", id, statuses[id])
		}
	}
	t.Logf("orders by the status of the response, 0 for none: %v", counts)
}

// TestBodyOfFullSizeInCalm guards against a budget for crowds that refuses a single request within the limits.
func TestBodyOfFullSizeInCalm(t *testing.T) {
	body := strings.Repeat("b", intakeBodyBytes)
	for name, request := range map[string]string{
		"announced":       fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"large chunk":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"one-byte chunks": "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", len(body)) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := startLimitedFleet(t, intakeTopology()).Routers[0].Host.CallersAddress
			NewWithT(t).Eventually(func() string { return sendWhole(address, request) }, intakeAnswerTime, "200ms").Should(Equal("HTTP/1.1 200 "))
		})
	}
}

// sendWhole sends a request and returns the begin of the response, or the error.
func sendWhole(address, request string) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(intakeAnswerTime))
	if _, err := io.WriteString(c, crowdTarget(address).Head("")+request); err != nil {
		return err.Error()
	}
	line := make([]byte, len("HTTP/1.1 200 "))
	_, _ = io.ReadFull(c, line)
	return string(line)
}

func callersOf(r *dtfleet.Router) string   { return r.Host.CallersAddress }
func peersOf(r *dtfleet.Router) string     { return r.Host.PeersAddress }
func operatorsOf(r *dtfleet.Router) string { return r.Host.OperatorsAddress }

// intakeTopology has one router with low limits.
func intakeTopology() dtfleet.Topology {
	t := dtfleet.SmallTopology()
	t.Domains, t.RoutersPerDomain, t.EnginesPerDomain, t.ServicesPerDomain = t.Domains[:1], []int{1}, []int{1}, []int{2}
	t.Service.CallMs = 1_000
	t.MaxBodyBytes, t.MemoryMB, t.MaxDescriptors = intakeBodyBytes, intakeMemoryMB, intakeDescriptors
	return t
}

// startLimitedFleet starts a fleet, stops it when the test ends and prints its logs if the test has failed.
func startLimitedFleet(t *testing.T, topology dtfleet.Topology) *dtfleet.Fleet {
	t.Helper()
	bin, err := filepath.Abs("../../bin")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	f, err := dtfleet.Start(topology, bin, dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Stop()
		logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
		for _, path := range logs {
			if text, err := os.ReadFile(path); err == nil && t.Failed() {
				t.Logf("--- %s\n%s", filepath.Base(path), tail(text))
			}
		}
	})
	return f
}

// playCrowd has a crowd send to a port of a router and hold its connections, and judges the process of the router.
func playCrowd(t *testing.T, address func(r *dtfleet.Router) string, groups []dtcrowd.Group) {
	t.Helper()
	g := NewWithT(t)
	f := startLimitedFleet(t, intakeTopology())
	r := f.Routers[0]
	watch := dtprocess.NewWatch(r.PID(), intakeSampleInterval)
	crowd := dtcrowd.Start(crowdTarget(address(r)), crowdRounds, groups...)
	crowd.AwaitSent(crowdSendTime)
	caller := dtcaller.New(dtfleet.AccountKey("acc-0"))
	defer caller.Close()
	served := func() bool {
		return caller.CallService(r.Host.CallersAddress, "franchise-desk", "stock", "", []byte(`{"poster":1}`)).Completed
	}
	g.Eventually(served, "60s", "100ms").Should(BeTrue(), "an ordinary request is answered")
	crowd.Leave()
	peak := watch.Stop()
	t.Logf("peak %d MB (resident %d, unread %d), %d descriptors; %d connections, %d closed by the router",
		peak.MemoryBytes>>20, peak.ResidentBytes>>20, peak.UnreadBytes>>20, peak.Descriptors, crowd.Connections.Load(), crowd.Closed.Load())
	g.Expect(dtprocess.IsRunning(r.PID(), filepath.Join(f.BinDir, "dottereltack"))).To(BeTrue(), "the process is alive")
	g.Expect(peak.MemoryBytes>>20).To(BeNumerically("<=", intakeMemoryMB), "resident set and unread bytes in MB")
	g.Expect(peak.Descriptors).To(BeNumerically("<=", intakeDescriptors-reservedDescriptors), "open descriptors")
}
