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

// handle answers one HTTP request.
func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case dtapi.PathReport:
		dtlisten.Reply(ctx, e.lagging(time.Now()))
	case dtapi.PathChat:
		e.chat(ctx)
	case dtapi.PathEngineResume:
		e.resume(ctx)
	case dtapi.PathEngineCancel:
		e.cancel(ctx)
	case dtapi.PathEngineCache:
		e.cacheEvents(ctx)
	case dtapi.PathEngineOrder:
		e.order(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// lagging returns the load report, which is up to ReportLagMs old.
func (e *Engine) lagging(now time.Time) dtapi.ServerReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.reported) >= time.Duration(e.Settings.ReportLagMs)*time.Millisecond || e.report.Start == 0 {
		e.reported = now
		e.report = dtapi.ServerReport{
			Server: e.Settings.Server, Start: uint64(e.start.UnixMilli()), Model: e.model, FencingNumber: e.fence,
			Running: uint32(len(e.running)), Waiting: uint32(len(e.waiting)),
		}
	}
	return e.report
}

// chat starts a stream and sends it, or answers whole.
func (e *Engine) chat(ctx *fasthttp.RequestCtx) {
	var req dtapi.ChatRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil || len(req.Messages) == 0 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if bytes.Contains(ctx.PostBody(), []byte(CrashMark)) {
		go e.Crash()
		time.Sleep(time.Duration(e.Settings.TokenMs) * time.Millisecond)
		return
	}
	const defaultTokens = 16
	total := uint32(req.MaxTokens)
	if total == 0 {
		total = defaultTokens
	}
	id := string(ctx.Request.Header.Peek(dtapi.HeaderRequestID))
	s := e.admit(id, Prefixes(req.Messages), total, time.Now())
	offset, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(dtapi.HeaderTokenOffset)), 10, 32)
	e.send(ctx, s, uint32(offset))
}

// admit puts a new stream in the batch's queue.
func (e *Engine) admit(id string, prefixes []Prefix, total uint32, now time.Time) *stream {
	s := newStream(id, prefixes, total, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.hit = e.cache.Hit(prefixes)
	s.prefill = time.Duration((s.prompt-s.hit)*e.Settings.PrefillUs) * time.Microsecond
	e.stats.Requests++
	e.stats.PromptTokens += s.prompt
	e.stats.HitTokens += s.hit
	e.streams[id] = s
	e.waiting = append(e.waiting, s)
	e.nudge()
	return s
}

// resume goes on with a stream that is still kept.
func (e *Engine) resume(ctx *fasthttp.RequestCtx) {
	var req dtapi.ResumeRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.streams[req.RequestID]
	e.mu.Unlock()
	if s == nil || s.stopped {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	e.send(ctx, s, req.Offset)
}

// cancel stops a stream.
func (e *Engine) cancel(ctx *fasthttp.RequestCtx) {
	var req dtapi.ResumeRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[req.RequestID]; s != nil && !s.ended {
		s.stopped = true
		e.stats.Cancelled++
		delete(e.streams, req.RequestID)
	}
}

// order changes the model, unless the fencing number is checked and old.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	var req dtapi.LoadModelRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Settings.CheckFence && req.FencingNumber < e.fence {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	e.fence = max(e.fence, req.FencingNumber)
	e.model = req.Model
}

// send streams an answer from a token on, with the total in the last event.
func (e *Engine) send(ctx *fasthttp.RequestCtx, s *stream, from uint32) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(dtapi.HeaderBackendServer, e.Settings.Server)
	ctx.Response.Header.Set("X-Cached-Tokens", strconv.Itoa(s.hit))
	ctx.Response.Header.Set("X-Prompt-Tokens", strconv.Itoa(s.prompt))
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { e.write(w, s, from) })
}

// write sends each token as it is made; a lost stream ends without its end mark.
func (e *Engine) write(w *bufio.Writer, s *stream, from uint32) {
	e.attach(s, 1)
	defer e.attach(s, -1)
	for at := from; ; {
		e.mu.Lock()
		made, total := s.made, s.total
		stopped := s.stopped
		e.mu.Unlock()
		for ; at < made; at++ {
			if writeToken(w, s, e.Settings.Model, at, total) != nil {
				return
			}
		}
		if at >= total {
			_, _ = w.WriteString("data: " + dtapi.StreamDoneData + "\n\n")
			return
		}
		if stopped || w.Flush() != nil {
			return
		}
		select {
		case <-s.grown:
		case <-s.lost:
			return
		case <-e.stop:
			return
		}
	}
}

func (e *Engine) attach(s *stream, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers += n
	s.touched = time.Now()
}

// writeToken writes one event of a stream.
func writeToken(w *bufio.Writer, s *stream, model string, at, total uint32) error {
	chunk := dtapi.ChatChunk{
		ID: "chatcmpl-" + s.id, Object: "chat.completion.chunk", Model: model, TokenIndex: at,
		Choices: []dtapi.ChunkChoice{{Delta: dtapi.Delta{Content: token(s.seed, at)}}},
	}
	if at+1 == total {
		stop := "stop"
		chunk.TokenTotal = total
		chunk.Choices[0].FinishReason = &stop
	}
	body, err := json.Marshal(&chunk)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(body)
	_, err = w.WriteString("\n\n")
	return err
}
