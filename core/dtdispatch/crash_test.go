package dtdispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

func TestCrashes(t *testing.T) {
	t.Run("a request is not sent after three crashes", func(t *testing.T) {
		r := newRouter(t, 9)
		sameDigest := func(ev *dtdispatch.RequestArrived) { ev.Digest = 99 }
		for range 3 {
			n := r.sendRequest("/once/x", sameDigest)
			r.onlySend()
			r.crashServer(n)
		}
		r.sendRequest("/once/x", sameDigest)
		r.Expect(r.onlyRefusal().Reason).To(Equal(dtdispatch.ReasonPoison))
		r.sendRequest("/once/x")
		r.onlySend()
	})
	t.Run("crashes seen by peers count", func(t *testing.T) {
		r := newRouter(t, 9)
		for i, peer := range []string{"r2", "r3"} {
			news := &dtdispatch.CrashNews{Reports: []dtdispatch.CrashReport{{ID: uint64(i), Digest: 99, Server: dtdispatch.ServerRef(i)}}}
			r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: peer, Start: 1, Crashes: news}})
		}
		sameDigest := func(ev *dtdispatch.RequestArrived) { ev.Digest = 99 }
		n := r.sendRequest("/once/x", sameDigest)
		r.crashServer(n)
		r.sendRequest("/once/x", sameDigest)
		r.Expect(r.onlyRefusal().Status).To(Equal(503))
	})
	t.Run("a connection lost by a live server is not a crash", func(t *testing.T) {
		r := newRouter(t, 9)
		sameDigest := func(ev *dtdispatch.RequestArrived) { ev.Digest = 99 }
		for range 5 {
			n := r.sendRequest("/once/x", sameDigest)
			server := r.onlySend().Server
			r.endAttempt(n, 1, dtdispatch.OutcomeConnectionLost)
			r.step(dtdispatch.ServerChecked{Server: server, Connected: true})
		}
		r.sendRequest("/once/x", sameDigest)
		r.onlySend()
	})
	t.Run("the next status reports a crash to peers", func(t *testing.T) {
		r := newRouter(t, 9)
		n := r.sendRequest("/once/x")
		r.crashServer(n)
		messages := effectsOf[dtdispatch.SendToPeers](r.advance(300 * time.Millisecond))
		r.Expect(messages).NotTo(BeEmpty())
		status, ok := messages[len(messages)-1].Message.(*dtdispatch.PeerStatus)
		r.Expect(ok).To(BeTrue())
		r.Expect(status.Crashes.Reports).To(HaveLen(1))
		r.Expect(status.Crashes.Reports[0].Digest).To(Equal(uint64(n)))
	})
}

// withParts gives a request a prompt of the given parts and one that is unique.
func withParts(ids ...uint64) func(*dtdispatch.RequestArrived) {
	return func(ev *dtdispatch.RequestArrived) {
		for _, id := range append(ids, 1<<40*uint64(ev.Number)) {
			ev.PromptParts = append(ev.PromptParts, dtdispatch.PromptPart{ID: id, Tokens: 100})
		}
	}
}

// crashRestartTime is the time until a crashed server accepts requests again.
const crashRestartTime = 3 * time.Second

// poisonedFleet is a fleet whose servers crash as they begin to respond to requests with a
// certain prompt part.
type poisonedFleet struct {
	*fleet
	deadly    uint64
	progress  dtdispatch.Progress // At which servers crash.
	crashedAt map[dtdispatch.ServerID]time.Time
}

// serve sends a request with the given parts through a router and returns the number of servers
// that it reached.
func (f *poisonedFleet) serve(name string, parts ...uint64) int {
	r := f.routers[name]
	r.sendRequest("/stream/x", withParts(parts...), func(ev *dtdispatch.RequestArrived) { ev.Digest = dtdispatch.HashString(name + ev.ID) })
	reached := 0
	for {
		sends := effectsOf[dtdispatch.SendRequest](r.effects)
		if len(sends) == 0 {
			return reached
		}
		reached += f.runAttempt(r, &sends[0], slices.Contains(parts, f.deadly))
	}
}

// runAttempt ends an attempt and returns 1, or 0 if the server is down.
func (f *poisonedFleet) runAttempt(r *router, send *dtdispatch.SendRequest, isDeadly bool) int {
	if at, crashed := f.crashedAt[send.Server]; crashed && r.now.Sub(at) < crashRestartTime {
		r.endAttempt(send.Number, send.Attempt, dtdispatch.OutcomeUnreachable)
		return 0
	}
	if !isDeadly {
		r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt})
		r.endAttempt(send.Number, send.Attempt, dtdispatch.OutcomeCompleted)
		return 1
	}
	f.crashedAt[send.Server] = r.now
	if f.progress == dtdispatch.ProgressEvents {
		r.step(dtdispatch.ResponseStarted{Number: send.Number, Attempt: send.Attempt})
	}
	r.endAttempt(send.Number, send.Attempt, dtdispatch.OutcomeConnectionLost, func(ev *dtdispatch.AttemptEnded) { ev.Progress = f.progress })
	next := r.effects
	for _, check := range effectsOf[dtdispatch.CheckServer](next) {
		r.step(dtdispatch.ServerChecked{Server: check.Server})
	}
	r.effects = next
	return 1
}

// TestPromptPartCrashesServerAfterServer guards against requests that share nothing but a prompt
// part which crashes servers: each has a digest of its own, and none reaches the limit alone.
func TestPromptPartCrashesServerAfterServer(t *testing.T) {
	const common, subject, deadly, otherSubject = 1, 2, 3, 4
	for name, parts := range map[string][]uint64{
		"the part is the last shared one": {common, subject, deadly},
		"the part is in the middle":       {common, deadly, subject},
		"the part is the first":           {deadly, common, subject},
	} {
		for _, size := range []int{4, 48} {
			for _, progress := range []dtdispatch.Progress{dtdispatch.ProgressHeader, dtdispatch.ProgressEvents} {
				t.Run(fmt.Sprintf("%s, %d routers, crash after %s", name, size, progress), func(t *testing.T) {
					testDeadlyPart(t, deadly, size, progress, parts, []uint64{common, subject}, []uint64{common, otherSubject})
				})
			}
		}
	}
}

// testDeadlyPart has requests with the given parts crash servers at some progress of their responses, while sound
// requests with other parts are served.
func testDeadlyPart(t *testing.T, deadly uint64, size int, progress dtdispatch.Progress, parts, sound, otherSound []uint64) {
	t.Helper()
	g := NewWithT(t)
	healthy, names := newLargeFleet(t, size)
	f := &poisonedFleet{fleet: healthy, deadly: deadly, progress: progress, crashedAt: map[dtdispatch.ServerID]time.Time{}}
	f.store = testServers(40)
	f.revision++
	f.run(4*time.Second, names...)
	crashed := 0
	for i := 0; crashed < 5; i++ {
		crashed += f.serve(names[i%size], parts...)
		g.Expect(f.serve(names[(i+1)%size], otherSound...)).To(Equal(1))
		f.run(300*time.Millisecond, names...)
	}
	f.run(3*time.Second, names...)
	late := 0
	for _, name := range names {
		late += f.serve(name, parts...)
		g.Expect(f.serve(name, sound...)).To(Equal(1), "a sound request with the other parts")
		g.Expect(f.serve(name, otherSound...)).To(Equal(1), "a sound request")
	}
	g.Expect(late).To(BeNumerically("<=", 3))
}

// TestPromptPartOfSoundStreamsIsNotBlocked guards against sound requests that are refused: three servers end for
// another reason while each has streams with the same prompt part.
func TestPromptPartOfSoundStreamsIsNotBlocked(t *testing.T) {
	const shared, deadlyAge = 7, 2100 * time.Millisecond
	for name, tc := range map[string]struct {
		completeBefore bool
		age            time.Duration // Of the streams when the servers end.
	}{
		"another stream with it was completed just before": {true, 100 * time.Millisecond},
		"the streams had run for long":                     {false, deadlyAge},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, 9)
			var streams []dtdispatch.SendRequest
			for range 12 {
				n := r.sendRequest("/stream/x", withParts(shared))
				streams = append(streams, r.onlySend())
				r.step(dtdispatch.ResponseStarted{Number: n, Attempt: 1})
			}
			if tc.completeBefore {
				n := r.sendRequest("/stream/x", withParts(shared))
				r.endAttempt(n, 1, dtdispatch.OutcomeCompleted)
			}
			r.now = r.now.Add(tc.age)
			servers := map[dtdispatch.ServerID]bool{}
			for i := range streams {
				r.endAttempt(streams[i].Number, 1, dtdispatch.OutcomeConnectionLost, func(ev *dtdispatch.AttemptEnded) { ev.Progress = dtdispatch.ProgressEvents })
				servers[streams[i].Server] = true
			}
			r.Expect(len(servers)).To(BeNumerically(">=", 3))
			for id := range servers {
				r.step(dtdispatch.ServerChecked{Server: id})
			}
			r.sendRequest("/stream/x", withParts(shared))
			r.onlySend()
		})
	}
}

// deadlyReports returns reports of crashes of different servers under different requests with parts.
func deadlyReports(n int, parts ...uint64) []dtdispatch.CrashReport {
	reports := make([]dtdispatch.CrashReport, n)
	for i := range reports {
		reports[i] = dtdispatch.CrashReport{ID: uint64(100 + i), Digest: uint64(200 + i), Server: dtdispatch.ServerRef(i), Parts: parts}
	}
	return reports
}

func (r *router) receiveCrashNews(news dtdispatch.CrashNews) {
	r.step(dtdispatch.PeerMessageReceived{Message: &dtdispatch.PeerStatus{From: "r9", Start: 1, Crashes: &news}})
}

func TestPromptPartBlock(t *testing.T) {
	const common, deadly = 1, 3
	t.Run("tells callers when it ends, and lasts longer after further crashes", func(t *testing.T) {
		for crashes, period := range map[int]time.Duration{3: time.Minute, 4: 2 * time.Minute, 20: time.Hour} {
			r := newRouter(t, 9)
			r.receiveCrashNews(dtdispatch.CrashNews{Reports: deadlyReports(crashes, common, deadly)})
			r.now = r.now.Add(10 * time.Second)
			r.sendRequest("/stream/x", withParts(common, deadly))
			refusal := r.onlyRefusal()
			r.Expect(refusal.Status).To(Equal(503))
			r.Expect(refusal.RetryAfter).To(Equal(period - 10*time.Second))
			r.now = r.now.Add(refusal.RetryAfter)
			r.sendRequest("/stream/x", withParts(common, deadly))
			r.onlySend()
		}
	})
	t.Run("does not follow from crashes under one request", func(t *testing.T) {
		r := newRouter(t, 9)
		reports := deadlyReports(5, common, deadly)
		for i := range reports {
			reports[i].Digest = 77
		}
		r.receiveCrashNews(dtdispatch.CrashNews{Reports: reports})
		r.sendRequest("/stream/x", withParts(common, deadly))
		r.onlySend()
	})
	t.Run("does not count a report that arrives again", func(t *testing.T) {
		r := newRouter(t, 9)
		for range 4 {
			r.receiveCrashNews(dtdispatch.CrashNews{Reports: deadlyReports(2, common, deadly)})
			r.now = r.now.Add(5 * time.Second)
		}
		r.sendRequest("/stream/x", withParts(common, deadly))
		r.onlySend()
	})
	t.Run("ends once a peer has had a response", func(t *testing.T) {
		r := newRouter(t, 9)
		r.receiveCrashNews(dtdispatch.CrashNews{Reports: deadlyReports(5, deadly)})
		r.sendRequest("/stream/x", withParts(common, deadly))
		r.onlyRefusal()
		r.receiveCrashNews(dtdispatch.CrashNews{SoundParts: []uint64{deadly}})
		r.sendRequest("/stream/x", withParts(common, deadly))
		r.onlySend()
	})
	t.Run("reaches a router that starts later", func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, "r1", "r2")
		f.run(3*time.Second, "r1", "r2")
		f.routers["r1"].receiveCrashNews(dtdispatch.CrashNews{Reports: deadlyReports(4, common, deadly)})
		f.run(20*time.Second, "r1", "r2")
		f.routers["r2"] = newEmptyRouter(t, "r2")
		f.routers["r2"].now = f.routers["r1"].now
		f.run(3*time.Second, "r1", "r2")
		parts := []dtdispatch.PromptPart{{ID: common}, {ID: deadly}, {ID: 9}}
		g.Expect(f.routers["r2"].state.Crashes.Block(1, parts).IsActive(f.routers["r2"].now)).To(BeTrue())
	})
}

// TestNewsBeyondOneMessage guards against news that are never sent, since more became known at once
// than a message holds.
func TestNewsBeyondOneMessage(t *testing.T) {
	const count = 600
	r := newEmptyRouter(t, "r1")
	r.step(dtdispatch.ConfigReceived{Config: testConfig(1)})
	r.listServers(1, testServers(count)...)
	for range count {
		n := r.sendRequest("/once/x")
		server := r.onlySend().Server
		report := &dtdispatch.ServerReport{ReceivedAt: r.now, RateLimit: dtdispatch.RateLimit{PerSecond: 1, IsSet: true}}
		r.endAttempt(n, 1, dtdispatch.OutcomeConnectionLost, func(ev *dtdispatch.AttemptEnded) { ev.Report = report })
		r.step(dtdispatch.ServerChecked{Server: server})
	}
	digests, rates := map[uint64]bool{}, map[dtdispatch.ServerRef]bool{}
	for _, send := range effectsOf[dtdispatch.SendToPeers](r.advance(4 * time.Second)) {
		status, ok := send.Message.(*dtdispatch.PeerStatus)
		if !ok || status.Crashes == nil {
			continue
		}
		r.Expect(len(status.Crashes.Reports)).To(BeNumerically("<=", 64))
		r.Expect(len(status.Rates)).To(BeNumerically("<=", 256))
		for _, report := range status.Crashes.Reports {
			digests[report.Digest] = true
		}
		for _, rate := range status.Rates {
			rates[rate.Server] = true
		}
	}
	r.Expect(digests).To(HaveLen(count))
	r.Expect(rates).To(HaveLen(count))
}
