package dtstate

import "time"

// handleClaimRequest queues an operation on its page; the page is advanced at the end of
// the step.
func (s *State) handleClaimRequest(m *ClaimRequest, now time.Time) {
	key := orderPageKey(m.Account, m.Key, m.KeyCreatedAtMs)
	p := s.Orders.page(key, now)
	if p == nil || len(p.Pending) >= maxOpsPerPage {
		s.replyToClaim(m, ClaimUnavailable, 0, nil, now)
		return
	}
	p.LastUsedAt = now
	p.Pending = append(p.Pending, pendingOp{request: m, receivedAt: now})
	s.Orders.pagesToAdvance = append(s.Orders.pagesToAdvance, p)
}

// page returns this router's copy of a page, or nil if too many pages are in use.
func (o *Orders) page(key string, now time.Time) *OrderPage {
	if p := o.Pages[key]; p != nil {
		return p
	}
	if len(o.Pages) >= maxOrderPages && !o.evictIdlePage(now) {
		return nil
	}
	p := &OrderPage{Key: key}
	o.Pages[key] = p
	return p
}

// evictIdlePage drops the least recently used page that has neither pending operations nor
// a pending call, and reports whether there was one.
func (o *Orders) evictIdlePage(now time.Time) bool {
	var oldest *OrderPage
	for _, p := range o.Pages {
		if p.CallPending || len(p.Pending) > 0 {
			continue
		}
		if oldest == nil || p.LastUsedAt.Before(oldest.LastUsedAt) || p.LastUsedAt.Equal(oldest.LastUsedAt) && p.Key < oldest.Key {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	delete(o.Pages, oldest.Key)
	_ = now
	return true
}

// flushOrderPages advances the pages that got operations in this step and resends
// unconfirmed outcomes.
func (s *State) flushOrderPages(now time.Time) {
	for len(s.Orders.pagesToAdvance) > 0 {
		p := s.Orders.pagesToAdvance[0]
		s.Orders.pagesToAdvance = s.Orders.pagesToAdvance[1:]
		s.advancePage(p, now)
	}
	s.resendOutcomes(now)
}

func (s *State) handlePageTimer(key string, now time.Time) {
	if p := s.Orders.Pages[key]; p != nil {
		s.advancePage(p, now)
	}
}

// advancePage reads or writes a page, with at most one platform call at a time.
func (s *State) advancePage(p *OrderPage, now time.Time) {
	s.expirePageOps(p, now)
	if p.CallPending || len(p.Pending) == 0 {
		return
	}
	if now.Before(p.NextCallAt) {
		s.setTimer(now, p.NextCallAt.Sub(now), timerPage, p.Key, 0)
		return
	}
	if !p.Loaded {
		p.CallPending = true
		p.ReadStartedAt = now
		s.callPlatform(PlatformCall{Op: PlatformGet, Key: p.Key}, callPage, now)
		return
	}
	s.commitPage(p, now)
}

// expirePageOps replies ClaimUnavailable to operations that have waited too long for the
// platform.
func (s *State) expirePageOps(p *OrderPage, now time.Time) {
	kept := p.Pending[:0]
	for _, op := range p.Pending {
		if now.Sub(op.receivedAt) > pageOpTimeout {
			s.replyToClaim(op.request, ClaimUnavailable, 0, nil, now)
			continue
		}
		kept = append(kept, op)
	}
	p.Pending = kept
}

// commitPage replies to the operations that do not change the page and writes the others
// in one call. An operation on a key with an unwritten change waits for that write too.
func (s *State) commitPage(p *OrderPage, now time.Time) {
	rows := append([]ClaimRow(nil), p.Rows...)
	var write []pendingOp
	ops := p.Pending
	p.Pending = nil
	unwritten := map[string]bool{}
	for i, op := range ops {
		var changed bool
		op.result, op.row, changed = applyClaim(&rows, op.request, now)
		key := string(op.request.Account) + "/" + op.request.Key
		if !changed && p.mustReread(&op, now) {
			p.Loaded = false
			p.Pending = append(p.Pending, ops[i:]...)
			break
		}
		if changed || unwritten[key] {
			unwritten[key] = true
			write = append(write, op)
			continue
		}
		s.replyToClaim(op.request, op.result, op.row.Status, op.row.Answer, now)
	}
	if len(write) == 0 {
		s.advancePage(p, now)
		return
	}
	p.Writing = write
	p.CallPending = true
	s.Orders.WriteCount++
	ttl := time.Duration(s.Config.Limits().OrderWindowSeconds)*time.Second + orderPageRetention
	s.callPlatform(PlatformCall{
		Op: PlatformPut, Key: p.Key, Revision: p.Revision, TTL: ttl,
		Value: PlatformValue{Claims: &ClaimPage{Rows: rows}},
	}, callPage, now)
}

// mustReread reports whether the copy is too old for the reply to an operation. A query
// must see every write that preceded it, so ClaimNotFound requires a read that began
// after the query arrived.
func (p *OrderPage) mustReread(op *pendingOp, now time.Time) bool {
	if op.request.Op == ClaimRead && op.result == ClaimNotFound && p.ReadStartedAt.Before(op.receivedAt) {
		return true
	}
	return op.result != ClaimAcquired && now.Sub(p.ReadAt) > maxPageAge
}

// applyClaim applies a ClaimRequest to rows and returns the result, the row and whether it
// changed.
func applyClaim(rows *[]ClaimRow, m *ClaimRequest, now time.Time) (ClaimResult, ClaimRow, bool) {
	row := findRow(*rows, m)
	switch m.Op {
	case ClaimAcquire:
		return acquireClaim(rows, row, m, now)
	case ClaimComplete, ClaimRelease:
		return finishClaim(row, m)
	case ClaimRead:
	}
	if row == nil {
		return ClaimNotFound, ClaimRow{}, false
	}
	return existingClaimResult(row, now), *row, false
}

// findRow returns the row of the request's key, or nil.
func findRow(rows []ClaimRow, m *ClaimRequest) *ClaimRow {
	for i := range rows {
		if rows[i].Key == m.Key && rows[i].Account == m.Account {
			return &rows[i]
		}
	}
	return nil
}

// acquireClaim claims the key unless its row belongs to another request that may have run.
func acquireClaim(rows *[]ClaimRow, row *ClaimRow, m *ClaimRequest, now time.Time) (ClaimResult, ClaimRow, bool) {
	fresh := ClaimRow{
		Account: m.Account, Key: m.Key, Request: m.Request, Body: m.BodyHash,
		AtMs: unixMs(now), State: OrderClaimed,
	}
	switch {
	case row == nil:
		*rows = append(*rows, fresh)
		return ClaimAcquired, fresh, true
	case row.Body != m.BodyHash:
		return ClaimBodyMismatch, ClaimRow{}, false
	case row.State == OrderReleased && row.Request != m.Request:
		*row = fresh
		return ClaimAcquired, fresh, true
	case row.Request == m.Request && row.State == OrderClaimed:
		return ClaimAcquired, *row, false
	}
	return existingClaimResult(row, now), *row, false
}

// existingClaimResult returns the result for a key that has a row already.
func existingClaimResult(row *ClaimRow, now time.Time) ClaimResult {
	switch {
	case row.State == OrderDone:
		return ClaimFoundDone
	case row.State == OrderReleased:
		return ClaimFoundReleased
	case now.Sub(time.UnixMilli(int64(row.AtMs))) > maxOrderRunTime:
		return ClaimFoundUnknown
	}
	return ClaimFoundRunning
}

// finishClaim records an outcome if the request holds the claim and it is still open.
func finishClaim(row *ClaimRow, m *ClaimRequest) (ClaimResult, ClaimRow, bool) {
	if row == nil || row.Request != m.Request || row.State != OrderClaimed {
		return ClaimRecorded, ClaimRow{}, false
	}
	row.State = OrderReleased
	if m.Op == ClaimComplete {
		row.State = OrderDone
		row.Status = m.Status
		row.Answer = m.Answer
	}
	return ClaimRecorded, *row, true
}

func (s *State) replyToClaim(m *ClaimRequest, result ClaimResult, status int, answer []byte, now time.Time) {
	reply := &ClaimReply{Request: m.Request, Op: m.Op, Result: result, Status: status, Answer: answer}
	s.send(m.EntryRouter, reply, now)
}

// handlePageResult completes a read or write of a page. After a conflict or an unknown
// outcome the page is read again and the operations are applied again.
func (s *State) handlePageResult(key string, ev PlatformCallCompleted, now time.Time) {
	p := s.Orders.Pages[key]
	if p == nil || !p.CallPending {
		return
	}
	p.CallPending = false
	written := p.Writing
	p.Writing = nil
	switch ev.Status {
	case PlatformOK:
		s.applyPage(p, written, ev, now)
	case PlatformConflict:
		p.Loaded = false
		p.Pending = append(written, p.Pending...)
	case PlatformOutcomeUnknown:
		p.Loaded = false
		p.Pending = append(written, p.Pending...)
		p.Failures++
		wait := min(minPageRetryDelay<<min(p.Failures, 5), maxPageRetryDelay)
		p.NextCallAt = now.Add(time.Duration(s.random.Int64N(int64(wait))) + time.Millisecond)
	}
	s.advancePage(p, now)
}

// applyPage replaces the local copy with what was read or written and replies to the
// written operations.
func (s *State) applyPage(p *OrderPage, written []pendingOp, ev PlatformCallCompleted, now time.Time) {
	p.Failures = 0
	p.Loaded = true
	p.ReadAt = now
	p.Revision = ev.Revision
	if len(written) > 0 {
		p.NextCallAt = now.Add(pageWriteInterval)
	}
	if ev.Value.Claims != nil {
		p.Rows = ev.Value.Claims.Rows
	} else {
		p.Rows = nil
	}
	for _, op := range written {
		s.replyToClaim(op.request, op.result, op.row.Status, op.row.Answer, now)
	}
}
