package dtdispatch

import "time"

// Limits of the prompt index.
const (
	maxPartsPerGeneration = 2048             // Maximum number of entries in each of the two generations.
	partRetention         = 20 * time.Second // Servers keep parts that are reused within seconds for longer than this.
	maxPartsPerStatus     = 64               // Maximum number of parts in one PeerStatus.
)

// PartHolder is the server that last read a prompt part.
type PartHolder struct {
	Server ServerRef
	ReadAt time.Time
}

// PromptIndex maps prompt parts to the servers that last read them, for the prompts that went
// through this router and, in a small fleet, through its peers.
type PromptIndex struct {
	Newer  map[uint64]PartHolder // When full, it replaces Older.
	Older  map[uint64]PartHolder
	Unsent map[uint64]ServerRef // Parts read through this router since its last status.
}

// RecordRead records that a server has read the parts of a prompt, except the last one, which
// is unique to the request.
func (p *PromptIndex) RecordRead(parts []PromptPart, server ServerRef, now time.Time) {
	for i := range len(parts) - 1 {
		part := parts[i].ID
		if holder, ok := p.lookup(part); (!ok || holder.Server != server) && len(p.Unsent) < maxPartsPerStatus {
			if p.Unsent == nil {
				p.Unsent = map[uint64]ServerRef{}
			}
			p.Unsent[part] = server
		}
		p.set(part, server, now)
	}
}

// Merge adds the parts from a peer's status.
func (p *PromptIndex) Merge(update map[uint64]ServerRef, now time.Time) {
	for part, server := range update {
		p.set(part, server, now)
	}
}

func (p *PromptIndex) set(part uint64, server ServerRef, now time.Time) {
	if p.Newer == nil || len(p.Newer) >= maxPartsPerGeneration {
		p.Older = p.Newer
		p.Newer = make(map[uint64]PartHolder, maxPartsPerGeneration)
	}
	p.Newer[part] = PartHolder{Server: server, ReadAt: now}
}

func (p *PromptIndex) lookup(part uint64) (PartHolder, bool) {
	if h, ok := p.Newer[part]; ok {
		return h, true
	}
	h, ok := p.Older[part]
	return h, ok
}

// Holder returns the server that last read a part, or false if none is known or the entry has
// expired at now.
func (p *PromptIndex) Holder(part uint64, now time.Time) (ServerRef, bool) {
	h, ok := p.lookup(part)
	return h.Server, ok && now.Sub(h.ReadAt) <= partRetention
}
