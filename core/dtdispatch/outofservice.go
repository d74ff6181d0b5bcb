package dtdispatch

import (
	"maps"
	"time"
)

// operatorRewritePeriod is the time in which operators write again what a store has lost. A failure domain
// that was out of service stays so meanwhile, since the absence of its key proves nothing.
const operatorRewritePeriod = 5 * time.Second

// OutOfService holds the failure domains that the operators have taken out of service.
type OutOfService struct {
	Domains  map[string]bool      // Those that get no requests: listed or held.
	Listed   map[string]bool      // As of Revision.
	Revision Revision             // Of the store.
	Held     map[string]time.Time // End of the time for which a domain that an older copy of the store lacks stays out of service; zero once the era has listed it.
}

// List sets the failure domains that are out of service as of a revision and reports whether those that
// get no requests have changed; it ignores a revision older than the last one.
func (o *OutOfService) List(domains []string, revision Revision, now time.Time) bool {
	if revision < o.Revision {
		return false
	}
	if o.Held == nil || revision.Era() > o.Revision.Era() {
		o.hold(now)
	}
	o.Revision, o.Listed = revision, make(map[string]bool, len(domains))
	for _, domain := range domains {
		o.Listed[domain] = true
		o.Held[domain] = time.Time{}
	}
	return o.update(now)
}

// hold has the domains that are out of service, of which there are none at first, stay so for
// operatorRewritePeriod.
func (o *OutOfService) hold(now time.Time) {
	o.Held = make(map[string]time.Time, len(o.Domains))
	for domain := range o.Domains {
		o.Held[domain] = now.Add(operatorRewritePeriod)
	}
}

// HoldAsPeer holds domains for as long as a peer does that knows the same era. What is known here of a
// domain in this era goes first, so that no time is prolonged by being passed on.
func (o *OutOfService) HoldAsPeer(heldMs map[string]int64, era uint64, now time.Time) bool {
	if era != o.Revision.Era() || o.Held == nil {
		return false
	}
	for domain, ms := range heldMs {
		if _, isKnown := o.Held[domain]; !isKnown {
			o.Held[domain] = now.Add(min(time.Duration(ms)*time.Millisecond, operatorRewritePeriod))
		}
	}
	return o.update(now)
}

// update sets Domains and reports whether they have changed.
func (o *OutOfService) update(now time.Time) bool {
	next := maps.Clone(o.Listed)
	for domain, until := range o.Held {
		if now.Before(until) {
			next[domain] = true
		}
	}
	changed := !maps.Equal(next, o.Domains)
	o.Domains = next
	return changed
}

// NextEnd returns when the next domain is no longer held, or the zero time.
func (o *OutOfService) NextEnd() time.Time {
	next := time.Time{}
	for domain, until := range o.Held {
		isWaiting := o.Domains[domain] && !o.Listed[domain]
		if isWaiting && (next.IsZero() || until.Before(next)) {
			next = until
		}
	}
	return next
}

// heldMs returns how long domains are still held, in milliseconds, or nil if none is.
func (o *OutOfService) heldMs(now time.Time) map[string]int64 {
	var held map[string]int64
	for domain, until := range o.Held {
		if now.Before(until) {
			if held == nil {
				held = map[string]int64{}
			}
			held[domain] = until.Sub(now).Milliseconds()
		}
	}
	return held
}

// listOutOfService applies the failure domains out of service that the store or a peer has named.
func (s *State) listOutOfService(domains []string, revision Revision, now time.Time) {
	if s.OutOfService.List(domains, revision, now) {
		s.handleOutOfServiceChange(now)
	}
}

// releaseHeldDomains puts the domains back whose time has ended.
func (s *State) releaseHeldDomains(now time.Time) {
	if end := s.OutOfService.NextEnd(); end.IsZero() || now.Before(end) {
		return
	}
	if s.OutOfService.update(now) {
		s.handleOutOfServiceChange(now)
	}
}

// handleOutOfServiceChange logs the domains that get no requests and applies the change to new streams.
func (s *State) handleOutOfServiceChange(now time.Time) {
	for _, domain := range sortedKeys(s.OutOfService.Domains) {
		detail := ""
		if !s.OutOfService.Listed[domain] {
			detail = "held since the store has come back from an older copy"
		}
		s.emit(LogRecord{Event: "domain_out", Subject: domain, Detail: detail})
	}
	if len(s.OutOfService.Domains) == 0 {
		s.emit(LogRecord{Event: "domains_back"})
	}
	s.updateVersions(now)
}
