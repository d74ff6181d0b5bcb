package dtengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dottereltack/dottereltack/core/dtapi"
	"github.com/dottereltack/dottereltack/dottereltack-stand/dtlisten"
)

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case dtapi.PathReport:
		dtlisten.WriteJSON(ctx, e.currentReport(time.Now()))
	case dtapi.PathChat:
		e.handleChat(ctx)
	case dtapi.PathEngineResume:
		e.handleResume(ctx)
	case dtapi.PathEngineCancel:
		e.handleCancel(ctx)
	case dtapi.PathEngineCache:
		e.handleCacheEvents(ctx)
	case dtapi.PathEngineLoadModel:
		e.handleLoadModel(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// currentReport returns the load report, which is renewed only once it is ReportLagMs old,
// so that clients see a stale load.
func (e *Engine) currentReport(now time.Time) dtapi.ServerReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.reportedAt) >= time.Duration(e.Settings.ReportLagMs)*time.Millisecond || e.loadReport.Start == 0 {
		e.reportedAt = now
		e.loadReport = dtapi.ServerReport{
			Server: e.Settings.Server, Start: uint64(e.startedAt.UnixMilli()), Model: e.model, FencingNumber: e.fencingNumber,
			Running: uint32(len(e.running)), Waiting: uint32(len(e.waiting)),
		}
	}
	return e.loadReport
}

// handleChat queues a chat completion request and streams its tokens from the offset in the
// request header on. A request that contains CrashTrigger crashes the engine instead.
func (e *Engine) handleChat(ctx *fasthttp.RequestCtx) {
	var req dtapi.ChatRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil || len(req.Messages) == 0 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if bytes.Contains(ctx.PostBody(), []byte(CrashTrigger)) {
		go e.Crash()
		// Sleep so that the crash resets this connection before a response is sent.
		time.Sleep(time.Duration(e.Settings.TokenMs) * time.Millisecond)
		return
	}
	const defaultMaxTokens = 16
	maxTokens := uint32(req.MaxTokens)
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	requestID := string(ctx.Request.Header.Peek(dtapi.HeaderRequestID))
	s := e.enqueue(requestID, Prefixes(req.Messages), maxTokens, time.Now())
	offset, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(dtapi.HeaderTokenOffset)), 10, 32)
	e.streamResponse(ctx, s, uint32(offset))
}

// enqueue creates a stream and queues it for a slot of the batch.
func (e *Engine) enqueue(requestID string, prefixes []Prefix, totalTokens uint32, now time.Time) *stream {
	s := newStream(requestID, prefixes, totalTokens, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.cachedTokens = e.cache.Lookup(prefixes)
	s.remainingPrefill = time.Duration((s.promptTokens-s.cachedTokens)*e.Settings.PrefillUs) * time.Microsecond
	e.stats.Requests++
	e.stats.PromptTokens += s.promptTokens
	e.stats.CachedTokens += s.cachedTokens
	e.streams[requestID] = s
	e.waiting = append(e.waiting, s)
	e.wakeBatch()
	return s
}

// handleResume continues a stream from a token offset. It responds with 410 Gone if the
// stream was discarded or cancelled.
func (e *Engine) handleResume(ctx *fasthttp.RequestCtx) {
	var req dtapi.StreamRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.streams[req.RequestID]
	e.mu.Unlock()
	if s == nil || s.cancelled {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	e.streamResponse(ctx, s, req.Offset)
}

// handleCancel cancels a stream. Unknown and finished streams are ignored.
func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx) {
	var req dtapi.StreamRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[req.RequestID]; s != nil && !s.finished {
		s.cancelled = true
		e.stats.Cancelled++
		delete(e.streams, req.RequestID)
	}
}

// handleLoadModel changes the model. With CheckFencingNumber set, it responds with 409 Conflict if
// the fencing number is lower than that of an earlier change.
func (e *Engine) handleLoadModel(ctx *fasthttp.RequestCtx) {
	var req dtapi.LoadModelRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Settings.CheckFencingNumber && req.FencingNumber < e.fencingNumber {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	e.fencingNumber = max(e.fencingNumber, req.FencingNumber)
	e.model = req.Model
}

// streamResponse sends the tokens of a stream from offset on as server-sent events.
func (e *Engine) streamResponse(ctx *fasthttp.RequestCtx, s *stream, offset uint32) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(dtapi.HeaderBackendServer, e.Settings.Server)
	ctx.Response.Header.Set("X-Cached-Tokens", strconv.Itoa(s.cachedTokens))
	ctx.Response.Header.Set("X-Prompt-Tokens", strconv.Itoa(s.promptTokens))
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.writeStream(w, s, offset) })
}

// writeStream writes each token as it is generated, then the [DONE] event, which an aborted
// or cancelled stream lacks.
func (e *Engine) writeStream(w *bufio.Writer, s *stream, offset uint32) {
	e.addReaders(s, 1)
	defer e.addReaders(s, -1)
	for next := offset; ; {
		e.mu.Lock()
		generated, total := s.generatedTokens, s.totalTokens
		cancelled := s.cancelled
		e.mu.Unlock()
		for ; next < generated; next++ {
			if writeChunk(w, s, e.Settings.Model, next, total) != nil {
				return
			}
		}
		if next >= total {
			_, _ = w.WriteString("data: " + dtapi.StreamDoneData + "\n\n")
			return
		}
		if cancelled || w.Flush() != nil {
			return
		}
		select {
		case <-s.progress:
		case <-s.aborted:
			return
		case <-e.stop:
			return
		}
	}
}

// addReaders adds delta to the number of responses that read from the stream.
func (e *Engine) addReaders(s *stream, delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers += delta
	s.lastReadAt = time.Now()
}

// writeChunk writes the event of one token. That of the last token also has the total and
// the finish reason.
func writeChunk(w *bufio.Writer, s *stream, model string, index, total uint32) error {
	chunk := dtapi.ChatChunk{
		ID: "chatcmpl-" + s.requestID, Object: "chat.completion.chunk", Model: model, TokenIndex: index,
		Choices: []dtapi.ChunkChoice{{Delta: dtapi.Delta{Content: tokenText(s.seed, index)}}},
	}
	if index+1 == total {
		finishReason := "stop"
		chunk.TokenTotal = total
		chunk.Choices[0].FinishReason = &finishReason
	}
	data, err := json.Marshal(&chunk)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, err = w.WriteString("\n\n")
	return err
}
