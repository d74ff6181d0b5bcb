package dtengine

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/dottereltack-stand/dtlisten"
)

// Parameters of the published cache events, which are late and incomplete on purpose.
const (
	maxCacheEvents         = 1024 // Number of events kept.
	cacheEventDelay        = 2 * time.Second
	cacheEventDropInterval = 10 // Every event whose number is a multiple of it is never published.
)

// CacheEvent reports that a prefix was added to the cache.
type CacheEvent struct {
	Number     uint64 `json:"number"`
	PrefixHash uint64 `json:"prefix"`
	AtMs       int64  `json:"at_ms"`
}

// recordCacheEvents records an event for each prefix. The caller must hold e.mu.
func (e *Engine) recordCacheEvents(prefixes []Prefix, now time.Time) {
	for _, p := range prefixes {
		e.lastEventNumber++
		e.cacheEvents = append(e.cacheEvents, CacheEvent{Number: e.lastEventNumber, PrefixHash: p.Hash, AtMs: now.UnixMilli()})
	}
	if excess := len(e.cacheEvents) - maxCacheEvents; excess > 0 {
		e.cacheEvents = append([]CacheEvent(nil), e.cacheEvents[excess:]...)
	}
}

// handleCacheEvents returns the events that are at least cacheEventDelay old and not dropped.
func (e *Engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoffMs := time.Now().Add(-cacheEventDelay).UnixMilli()
	published := []CacheEvent{}
	for _, ev := range e.cacheEvents {
		if ev.AtMs <= cutoffMs && ev.Number%cacheEventDropInterval != 0 {
			published = append(published, ev)
		}
	}
	dtlisten.WriteJSON(ctx, published)
}
