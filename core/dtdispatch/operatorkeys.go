package dtdispatch

import "time"

// Timing of the calls that read the operators' keys, which hold the configuration and the failure
// domains out of service. In a small fleet each router watches them. In a large one only the readers
// do, and the other routers hear from their reader how old its knowledge is; they ask the store
// themselves if it becomes too old for a change to be in force in time.
const (
	operatorWatchWait     = 20 * time.Second        // May be long because TCP keep-alive detects a dead connection sooner.
	operatorStartupDelay  = 2500 * time.Millisecond // Between the first two calls of all but readers; the fleet is known after it.
	operatorBatchInterval = 400 * time.Millisecond  // A burst of changes within this time takes one call.
	maxOperatorRetryDelay = time.Second
	readerWaitShare       = 0.25                   // Of the drain timeout, for which a reader's call waits.
	maxOperatorAgeShare   = 0.8                    // Of the drain timeout.
	operatorAgeMargin     = 300 * time.Millisecond // For the transit of messages.
	configReplyTime       = 2 * time.Second        // After which a request for a configuration is repeated to the same router.
	operatorReadSpread    = 300 * time.Millisecond // Routers that lose their reader ask the store within this time.
	operatorSpreadSteps   = 1 << 8
)

// OperatorKeys is the state of reading the operators' keys.
type OperatorKeys struct {
	Polling     Polling
	FirstReadAt time.Time // Time of the first successful read.
	BehindSince time.Time // When another router first named a newer version than that in force; zero once a newer one is.
	ConfirmedAt time.Time // Time as of which the router's configuration and domains out of service are known to be current.
}

// OperatorNews is what a router knows of the operators' keys, and how old that is.
type OperatorNews struct {
	ConfigVersion        int64            `msgpack:"v"`
	OutOfServiceDomains  []string         `msgpack:"o,omitempty"`
	OutOfServiceRevision Revision         `msgpack:"or"`
	HeldDomainsMs        map[string]int64 `msgpack:"oh,omitempty"` // For how long domains stay out of service that OutOfServiceDomains lacks; see OutOfService.Held.
	AgeMs                int64            `msgpack:"oa,omitempty"` // Since it was known to be current; zero if unknown.
}

// operatorNews returns what this router knows.
func (s *State) operatorNews(now time.Time) OperatorNews {
	news := OperatorNews{
		OutOfServiceDomains: sortedKeys(s.OutOfService.Listed), OutOfServiceRevision: s.OutOfService.Revision, HeldDomainsMs: s.OutOfService.heldMs(now),
	}
	if s.Config != nil {
		news.ConfigVersion = s.Config.Version
	}
	if !s.OperatorKeys.ConfirmedAt.IsZero() {
		news.AgeMs = max(now.Sub(s.OperatorKeys.ConfirmedAt).Milliseconds(), 1)
	}
	return news
}

// mergeOperatorNews applies what a peer knows, and requests its configuration if that is newer.
func (s *State) mergeOperatorNews(from string, news *OperatorNews, now time.Time) {
	s.listOutOfService(news.OutOfServiceDomains, news.OutOfServiceRevision, now)
	if s.OutOfService.HoldAsPeer(news.HeldDomainsMs, news.OutOfServiceRevision.Era(), now) {
		s.handleOutOfServiceChange(now)
	}
	if s.configVersion() < news.ConfigVersion {
		s.requestConfig(from, news.ConfigVersion, now)
		return
	}
	confirmedAt := s.sentBy(from, now).Add(-time.Duration(news.AgeMs) * time.Millisecond)
	if news.AgeMs > 0 && confirmedAt.Sub(s.OperatorKeys.ConfirmedAt) >= minAgeGain {
		s.confirmOperatorKeys(confirmedAt)
	}
}

// sentBy returns the time by which the last status of a router has been sent for sure. What was sent in a pause of this router is in its
// buffers, and arrives within standstillMargin of its end.
func (s *State) sentBy(from string, now time.Time) time.Time {
	sentBy := now.Add(-s.Peers.ByName[from].LateBy)
	if resumedAt := s.Resume.ResumedAt; now.Sub(resumedAt) <= standstillMargin {
		return earlier(sentBy, resumedAt)
	}
	return sentBy
}

// requestConfig asks a peer for its configuration, unless that was rejected or is under way, a peer has been asked just now or the
// store is about to send it.
func (s *State) requestConfig(from string, version int64, now time.Time) {
	p := &s.Peers
	if p.RejectedConfigs[from] == version {
		return
	}
	if s.OperatorKeys.BehindSince.IsZero() {
		s.OperatorKeys.BehindSince = now
	}
	wait := syncRetryInterval
	if p.ConfigRequest.To == from && p.ConfigRequest.Version == version {
		wait = configReplyTime
	}
	if now.Sub(p.ConfigRequest.At) < wait || isFirstReadUnderWay(&s.OperatorKeys.Polling, s.Config != nil, now) {
		return
	}
	p.ConfigRequest = ConfigRequest{To: from, Version: version, At: now}
	s.emit(SendToPeers{To: from, Message: &SyncRequest{From: s.Settings.RouterName, WantsConfig: true}})
}

// configVersion returns the version of the configuration in force, or zero if there is none.
func (s *State) configVersion() int64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

// configAge returns the time since the configuration was known to be current, or zero if it never was.
func (s *State) configAge(now time.Time) time.Duration {
	if s.OperatorKeys.ConfirmedAt.IsZero() {
		return 0
	}
	return now.Sub(s.OperatorKeys.ConfirmedAt)
}

func (s *State) confirmOperatorKeys(at time.Time) {
	s.OperatorKeys.ConfirmedAt = later(s.OperatorKeys.ConfirmedAt, at)
}

// followsReader reports whether this router hears of the operators' keys from its reader.
func (s *State) followsReader(now time.Time) bool { return s.Membership.IsLarge() && !s.isReader(now) }

// nextOperatorReadAt returns when the operators' keys are to be read next, or the zero time while a
// call is in progress.
func (s *State) nextOperatorReadAt(now time.Time) time.Time {
	p := &s.OperatorKeys.Polling
	if p.InProgress {
		return time.Time{}
	}
	maxDelay := maxOperatorRetryDelay
	if s.followsReader(now) {
		maxDelay = maxFollowerRetryDelay
	}
	retryAt := p.RetryTime(maxDelay)
	if s.Config == nil {
		retryAt = s.firstRetryTime(p, retryAt)
	}
	if s.isResuming(now) {
		return later(p.NextAt, retryAt)
	}
	due := p.NextAt
	if !s.confirmsForOthers(now) {
		due = later(due, s.OperatorKeys.FirstReadAt.Add(operatorStartupDelay))
	}
	if s.followsReader(now) {
		due = later(due, s.OperatorKeys.ConfirmedAt.Add(s.maxOperatorAge()+s.operatorReadOffset()))
	}
	if at := s.behindReadAt(); !at.IsZero() {
		due = later(p.NextAt, earlier(due, at))
	}
	return later(due, retryAt)
}

// behindReadAt returns when a router reads the keys once since a newer version is known and has not arrived, as from a reader that sends
// many copies over a slow link or from a router that stands still, or the zero time.
func (s *State) behindReadAt() time.Time {
	k := &s.OperatorKeys
	if k.BehindSince.IsZero() || k.Polling.StartedAt.After(k.BehindSince) {
		return time.Time{}
	}
	return k.BehindSince.Add(syncRetryInterval + s.operatorReadOffset())
}

// maxOperatorAge returns the age of a follower's knowledge at which it asks the store itself. Until
// then another router can take over from a reader that has failed.
func (s *State) maxOperatorAge() time.Duration {
	age := s.readerWait() + maxStatusInterval + readerTimeout + operatorAgeMargin
	return min(age, time.Duration(maxOperatorAgeShare*float64(s.Settings.Bounds.DrainTimeout)))
}

// operatorReadOffset returns this router's part of operatorReadSpread.
func (s *State) operatorReadOffset() time.Duration {
	step := HashString(s.Settings.RouterName) % operatorSpreadSteps
	return time.Duration(step) * operatorReadSpread / operatorSpreadSteps
}

// readerWait returns how long a call of a reader waits for a change, which is how often it confirms
// its knowledge.
func (s *State) readerWait() time.Duration {
	return time.Duration(readerWaitShare * float64(s.Settings.Bounds.DrainTimeout))
}

func (s *State) readOperatorKeysIfDue(now time.Time) {
	if s.OperatorKeys.Polling.InProgress || now.Before(s.nextOperatorReadAt(now)) {
		return
	}
	s.OperatorKeys.Polling.Begin(now)
	s.emit(ReadOperatorKeys{Wait: s.operatorReadWait(now)})
}

// operatorReadWait returns how long the next call waits for a change.
func (s *State) operatorReadWait(now time.Time) time.Duration {
	switch {
	case s.isResuming(now):
		return 0
	case s.confirmsForOthers(now):
		return s.readerWait()
	}
	return operatorWatchWait
}

// confirmsForOthers reports whether other routers go by how old this router's knowledge is. A router
// that has lost all delegates of its domain reads the keys for itself alone: it has no links to others.
func (s *State) confirmsForOthers(now time.Time) bool {
	return s.Membership.IsLarge() && s.isReader(now) && s.isDelegate(s.Settings.RouterName, s.Settings.Domain)
}

// handleOperatorKeysRead records that the operators' keys, as delivered by the events before, are
// current.
func (s *State) handleOperatorKeysRead(ev OperatorKeysRead, now time.Time) {
	p := &s.OperatorKeys.Polling
	nextAt := now.Add(operatorBatchInterval)
	if ev.Unchanged {
		nextAt = later(now, p.StartedAt.Add(operatorBatchInterval)) // Now, unless the store returns without waiting.
	}
	if s.OperatorKeys.FirstReadAt.IsZero() {
		s.OperatorKeys.FirstReadAt = now
	}
	confirmedAt := now
	if p.StartedAt.Before(s.Resume.ResumedAt) {
		confirmedAt, nextAt = p.StartedAt, now // The response may have been sent before the end of the pause.
	}
	s.confirmOperatorKeys(confirmedAt)
	p.Succeed(nextAt)
	s.readOperatorKeysIfDue(now)
}

// handleOperatorKeysFailed schedules the next call: at once if RestartWatch has ended the last one,
// later if it has failed.
func (s *State) handleOperatorKeysFailed(ev OperatorKeysFailed, now time.Time) {
	if ev.Interrupted {
		s.OperatorKeys.Polling.Succeed(now)
		s.readOperatorKeysIfDue(now)
		return
	}
	s.OperatorKeys.Polling.Fail(now)
	s.markStoreDown(StoreFailed{Call: "operator_keys", Detail: ev.Detail})
}
