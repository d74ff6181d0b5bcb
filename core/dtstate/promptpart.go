package dtstate

import (
	"slices"
	"time"
)

// Parameters of refusing requests whose prompt has a part that crashes servers.
const (
	// Crashed servers after which a part is refused. One request crashes fewer, so that several
	// requests have the part in common.
	partCrashThreshold = poisonCrashThreshold + 1
	maxSoundParts      = 2048             // In each of the two generations of SoundParts.
	soundPartRetention = 10 * time.Second // A part that was answered within this time is not the cause of crashes.
)

// SoundParts holds the prompt parts of recent answers of this router, by the time of the answer.
type SoundParts struct {
	Newer map[uint64]time.Time // When full, it replaces Older.
	Older map[uint64]time.Time
}

func (p *SoundParts) add(part uint64, now time.Time) {
	if p.Newer == nil || len(p.Newer) >= maxSoundParts {
		p.Newer, p.Older = map[uint64]time.Time{}, p.Newer
	}
	p.Newer[part] = now
}

func (p *SoundParts) contains(part uint64, now time.Time) bool {
	at, found := p.Newer[part]
	if !found {
		at, found = p.Older[part]
	}
	return found && now.Sub(at) < soundPartRetention
}

// markPartsSound records that a server has begun to answer a request, and clears the crash records
// of the parts of its prompt.
func (s *State) markPartsSound(r *Request, now time.Time) {
	for _, part := range r.PromptParts {
		s.Entry.SoundParts.add(part, now)
		s.clearCrashes(part, now)
	}
}

// recordPartCrashes announces a crash for each prompt part of a request that a server had not begun
// to answer when it crashed.
func (s *State) recordPartCrashes(r *Request, now time.Time) {
	if r.Answered {
		return
	}
	for _, part := range r.PromptParts {
		if !slices.Contains(s.Gossip.CrashedServers[part], r.Server) {
			s.announce(Announcement{Crash: &CrashRecord{Digest: part, Server: r.Server, AtMs: unixMs(now)}}, now)
		}
	}
}

// hasDeadlyPart reports whether a part of a request's prompt has crashed servers and none has
// answered to it since.
func (s *State) hasDeadlyPart(r *Request, now time.Time) bool {
	if s.Gossip.CrashRecordCount == 0 {
		return false
	}
	return slices.ContainsFunc(r.PromptParts, func(part uint64) bool {
		return len(s.Gossip.CrashedServers[part]) >= partCrashThreshold && !s.Entry.SoundParts.contains(part, now)
	})
}
