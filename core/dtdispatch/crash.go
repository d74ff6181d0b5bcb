package dtdispatch

import (
	"slices"
	"time"
)

// Limits of the crash tracker.
const (
	maxCrashReports  = 1024            // The oldest report is evicted first.
	crashRetention   = maxBlockPeriod  // A report this old no longer supports a block.
	crashMergePeriod = 2 * time.Second // A server takes longer to restart; reports within it are of one crash.
	crashDelay       = 2 * time.Second // A server that crashes on a prompt part does so within it after its first event.
	soundPeriod      = 3 * time.Second // A prompt part with a complete response within it before a crash did not cause the crash.
	maxBlamedParts   = 64              // Of a response that had begun; comparing longer lists takes too long.
)

// CrashReport states that a server crashed while it had a request in flight. Reports are exchanged
// between routers and told apart by ID, so that a repeated one is not counted again.
type CrashReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Encoded without field names to save space.
	ID       uint64
	Digest   uint64 // Of the request.
	Server   ServerRef
	Parts    []uint64 // IDs of the shared prompt parts that may have caused it; empty unless the server had just begun to respond.
}

// KnownCrash is a report with the time when it became known to this router.
type KnownCrash struct {
	CrashReport
	LearnedAt time.Time
	Seq       uint64 // Order in which reports and sound parts became known.
	IsOwn     bool   // This router saw the crash.
}

// keys returns what the report counts against.
func (c *KnownCrash) keys() []crashKey {
	keys := []crashKey{{id: c.Digest}}
	for _, part := range c.Parts {
		keys = append(keys, crashKey{id: part, isPart: true})
	}
	return keys
}

// CrashSuspect is a request that was in flight on a server when the server dropped its connection.
type CrashSuspect struct {
	RequestID   string
	Digest      uint64
	PromptParts []PromptPart
	Progress    Progress
	StartedAt   time.Time // When the first event arrived; zero if none has.
	ConnectedAt time.Time // When the connection was opened; zero if none was, or it is not known.
	EndedAt     time.Time // When the connection ended.
	Start       int64     // Of the incarnation of the server that was listed when the attempt began.
	MayBeLater  bool      // A later incarnation may have dropped the connection.
}

// blamedParts returns the shared parts of the prompt if the server had just begun to respond.
func (c *CrashSuspect) blamedParts() []uint64 {
	switch {
	case c.Progress == ProgressHeader:
		return sharedPartIDs(c.PromptParts)
	case c.Progress == ProgressEvents && c.EndedAt.Sub(c.StartedAt) <= crashDelay && len(c.PromptParts) <= maxBlamedParts:
		return sharedPartIDs(c.PromptParts)
	}
	return nil
}

// SoundPart states that a server has completed the response to a request with a prompt part.
type SoundPart struct {
	Seq   uint64 // Reports with a lower Seq do not count against the part.
	IsOwn bool   // The response was to this router.
}

// crashKey identifies what crashes are counted for: a request or a prompt part.
type crashKey struct {
	id     uint64 // Request digest or part ID.
	isPart bool
}

// CrashTracker finds the requests and the prompt parts that crash servers.
type CrashTracker struct {
	Source   uint64        // Hash of the router and its incarnation, from which report IDs are derived.
	Reports  []*KnownCrash // In the order in which they became known.
	Suspects map[ServerID][]*CrashSuspect
	Checks   map[ServerID]*SuspectCheck // Of servers that have dropped connections lately.
	Sound    map[uint64]SoundPart       // By ID, for prompt parts of reports.
	Recent   RecentParts                // Of complete responses.

	seq   uint64
	known map[uint64]bool // By report ID.
	byKey map[crashKey][]*KnownCrash
}

// NewCrashTracker returns an empty tracker; source is unique to the incarnation of a router.
func NewCrashTracker(source uint64) CrashTracker {
	return CrashTracker{
		Source: source, Suspects: map[ServerID][]*CrashSuspect{}, Checks: map[ServerID]*SuspectCheck{}, Sound: map[uint64]SoundPart{},
		known: map[uint64]bool{}, byKey: map[crashKey][]*KnownCrash{},
	}
}

// AddSuspect records a request whose connection the server dropped.
func (t *CrashTracker) AddSuspect(id ServerID, suspect *CrashSuspect) {
	if suspects := t.Suspects[id]; len(suspects) < maxCrashReports {
		t.Suspects[id] = append(suspects, suspect)
	}
}

func (t *CrashTracker) check(id ServerID) *SuspectCheck {
	return getOrCreate(t.Checks, id, func() *SuspectCheck { return &SuspectCheck{} })
}

// hasBegun reports whether the server had begun to respond to one of the requests whose connections it has dropped.
func (t *CrashTracker) hasBegun(id ServerID) bool {
	return slices.ContainsFunc(t.Suspects[id], func(c *CrashSuspect) bool { return c.Progress != ProgressNone })
}

// ResolveSuspects applies the result of a check and returns the requests that it is about: those of the incarnation that was
// checked if a process has answered, else those of any. If the server has crashed, that is reported for each of them; if not,
// those that it has dropped since the check began await another one.
func (t *CrashTracker) ResolveSuspects(id ServerID, hasCrashed, isAnswered bool, now time.Time) []*CrashSuspect {
	check := t.check(id)
	check.IsRepeated = false
	var suspects, others []*CrashSuspect
	for _, c := range t.Suspects[id] {
		if (hasCrashed || !c.EndedAt.After(check.BegunAt)) && (!isAnswered || c.Start == check.Start) {
			suspects = append(suspects, c)
		} else {
			others = append(others, c)
		}
	}
	delete(t.Suspects, id)
	if len(others) > 0 {
		t.Suspects[id] = others
	}
	if !hasCrashed {
		return suspects
	}
	delete(t.Checks, id)
	for _, suspect := range suspects {
		if isAnswered && suspect.MayBeLater {
			continue
		}
		report := CrashReport{ID: Mix(t.Source, t.seq), Digest: suspect.Digest, Server: ServerRef(HashString(string(id)))}
		report.Parts = t.Recent.without(suspect.blamedParts(), suspect.EndedAt)
		t.add(report, true, now)
	}
	return suspects
}

// AddReport records a report of another router.
func (t *CrashTracker) AddReport(report CrashReport, now time.Time) { t.add(report, false, now) }

func (t *CrashTracker) add(report CrashReport, isOwn bool, now time.Time) {
	if t.known[report.ID] {
		return
	}
	for len(t.Reports) > 0 && (len(t.Reports) >= maxCrashReports || now.Sub(t.Reports[0].LearnedAt) > crashRetention) {
		t.removeOldest()
	}
	t.seq++
	crash := &KnownCrash{CrashReport: report, LearnedAt: now, Seq: t.seq, IsOwn: isOwn}
	t.Reports = append(t.Reports, crash)
	t.known[report.ID] = true
	for _, key := range crash.keys() {
		t.byKey[key] = append(t.byKey[key], crash)
	}
}

func (t *CrashTracker) removeOldest() {
	oldest := t.Reports[0]
	t.Reports = t.Reports[1:]
	delete(t.known, oldest.ID)
	for _, key := range oldest.keys() {
		t.byKey[key] = t.byKey[key][1:]
		if len(t.byKey[key]) == 0 {
			delete(t.byKey, key)
			if key.isPart {
				delete(t.Sound, key.id)
			}
		}
	}
}

// MarkSound records that a server has completed the response to a request with these prompt parts. The first events
// of a response do not show that, since a server may crash on a part some events later.
func (t *CrashTracker) MarkSound(parts []PromptPart, now time.Time) {
	for _, id := range sharedPartIDs(parts) {
		t.Recent.add(id, now)
		t.markSound(id, true)
	}
}

func (t *CrashTracker) markSound(part uint64, isOwn bool) {
	if len(t.byKey[crashKey{id: part, isPart: true}]) == 0 {
		return
	}
	t.seq++
	t.Sound[part] = SoundPart{Seq: t.seq, IsOwn: isOwn}
}

// sharedPartIDs returns the distinct IDs of the parts that other requests may share, which are all
// but the last.
func sharedPartIDs(parts []PromptPart) []uint64 {
	var ids []uint64
	for i := range len(parts) - 1 {
		if !slices.Contains(ids, parts[i].ID) {
			ids = append(ids, parts[i].ID)
		}
	}
	return ids
}
