package dtdispatch

import (
	"slices"
	"time"
)

// Parameters of blocking requests that crash servers.
const (
	crashThreshold = 3 // Crashes after which a request or prompt part is blocked.
	// A prompt part is blocked only if different requests with it have crashed servers; the parts
	// of one request can't be told apart.
	minCrashedRequests = 2
	minBlockPeriod     = time.Minute // From the latest crash; doubled by each crash beyond the threshold.
	maxBlockPeriod     = time.Hour
	maxBlockDoublings  = 6
)

// CrashBlock is the reason why a request must not be sent to any server.
type CrashBlock struct {
	Until   time.Time // Zero if the request is not blocked.
	Part    uint64    // ID of the prompt part that crashes servers; zero if it is the request itself.
	Crashes int
}

// IsActive reports whether the block applies at now.
func (b CrashBlock) IsActive(now time.Time) bool { return now.Before(b.Until) }

// Block returns the block of a request, which ends last if several apply.
func (t *CrashTracker) Block(digest uint64, parts []PromptPart) CrashBlock {
	if len(t.Reports) == 0 {
		return CrashBlock{}
	}
	block := t.requestBlock(digest)
	ids := sharedPartIDs(parts)
	for _, id := range ids {
		if b := t.partBlock(id, ids); b.Until.After(block.Until) {
			block = b
		}
	}
	return block
}

// Count returns the number of servers that are known to have crashed with a request in flight.
func (t *CrashTracker) Count(digest uint64) int { return countCrashes(t.byKey[crashKey{id: digest}]) }

func (t *CrashTracker) requestBlock(digest uint64) CrashBlock {
	return newCrashBlock(0, t.byKey[crashKey{id: digest}])
}

// partBlock returns the block that a prompt part imposes on a request with the given parts. The
// request must have all parts that the crashed ones have in common: any of them may be the cause,
// as long as no response has shown that it is sound.
func (t *CrashTracker) partBlock(id uint64, parts []uint64) CrashBlock {
	crashes := t.partCrashes(id)
	if len(crashes) < crashThreshold || countRequests(crashes) < minCrashedRequests {
		return CrashBlock{}
	}
	for _, common := range commonParts(crashes) {
		if !slices.Contains(parts, common) {
			return CrashBlock{}
		}
	}
	return newCrashBlock(id, crashes)
}

// partCrashes returns the reports that count against a prompt part.
func (t *CrashTracker) partCrashes(id uint64) []*KnownCrash {
	crashes := t.byKey[crashKey{id: id, isPart: true}]
	sound, isSound := t.Sound[id]
	if !isSound {
		return crashes
	}
	at, _ := slices.BinarySearchFunc(crashes, sound.Seq, func(c *KnownCrash, seq uint64) int { return int(c.Seq) - int(seq) })
	return crashes[at:]
}

// newCrashBlock returns the block for the crashes counted against a request or prompt part.
func newCrashBlock(part uint64, crashes []*KnownCrash) CrashBlock {
	n := countCrashes(crashes)
	if n < crashThreshold {
		return CrashBlock{}
	}
	period := min(minBlockPeriod<<min(n-crashThreshold, maxBlockDoublings), maxBlockPeriod)
	return CrashBlock{Until: crashes[len(crashes)-1].LearnedAt.Add(period), Part: part, Crashes: n}
}

// countCrashes returns the number of server crashes that the reports are about. Reports on one
// server within crashMergePeriod are of the same crash.
func countCrashes(crashes []*KnownCrash) int {
	n := 0
	countedAt := make(map[ServerRef]time.Time, len(crashes))
	for _, c := range crashes {
		if at, counted := countedAt[c.Server]; counted && c.LearnedAt.Sub(at) < crashMergePeriod {
			continue
		}
		countedAt[c.Server] = c.LearnedAt
		n++
	}
	return n
}

// countRequests returns the number of different requests that the reports are about.
func countRequests(crashes []*KnownCrash) int {
	digests := make(map[uint64]bool, len(crashes))
	for _, c := range crashes {
		digests[c.Digest] = true
	}
	return len(digests)
}

// commonParts returns the prompt parts that all reports have.
func commonParts(crashes []*KnownCrash) []uint64 {
	common := slices.Clone(crashes[0].Parts)
	for _, c := range crashes[1:] {
		common = slices.DeleteFunc(common, func(part uint64) bool { return !slices.Contains(c.Parts, part) })
	}
	return common
}
