package dtrouter

import (
	"bytes"
	"time"

	"github.com/dottereltack/dottereltack/core/dtconfig"
	"github.com/dottereltack/dottereltack/core/dtstate"
)

// Perform carries out an effect without blocking the control loop.
func (r *Router) Perform(e dtstate.Effect) {
	switch e := e.(type) {
	case dtstate.Dispatch:
		r.Gateway.Deliver(e.Request, e)
	case dtstate.AnswerOrder:
		r.Gateway.Deliver(e.Request, e)
	case dtstate.Refuse:
		r.recordRefusal(e)
	case dtstate.SendPeer:
		r.links.Send(e.To, e.Address, e.Message)
	case dtstate.ResetLink:
		r.resetLink(e.Peer)
	case dtstate.RecordEvent:
		r.recordEvent(e.Name, e.Subject, e.Request, e.Detail)
	case dtstate.PlatformCall:
		r.workers.Go(func() { r.callPlatform(e) })
	case dtstate.Probe:
		r.workers.Go(func() { r.Loop.Post(r.servers.Probe(e)) })
	case dtstate.DecodeConfig:
		r.workers.Go(func() { r.Loop.Post(DecodeRecord(e.Record, r.Host.Site)) })
	default:
		r.performOther(e)
	}
}

// performOther carries out the remaining effects. The switch is split to keep each function
// short.
func (r *Router) performOther(e dtstate.Effect) {
	switch e := e.(type) {
	case dtstate.Cancel:
		r.workers.Go(func() { r.recordIfError("cancel", string(e.Server), r.servers.Cancel(e)) })
	case dtstate.LoadModel:
		r.workers.Go(func() { r.recordIfError("engine_order", string(e.Server), r.servers.LoadModel(e, time.Now())) })
	case dtstate.Exit:
		select {
		case r.stopped <- e.Abandoned:
		default:
		}
	}
}

// AfterStep records the step's duration and publishes a changed configuration and the first
// readiness to the goroutines that carry traffic.
func (r *Router) AfterStep(s *dtstate.State, took time.Duration) {
	r.Meter.ObserveStep(took)
	if s.Config.Site != r.publishedSite {
		r.publishedSite = s.Config.Site
		r.Gateway.Configure(r.publishedSite)
	}
	if !r.ready.Load() && s.Config.Site != nil && len(s.Fleet.Servers) > 0 {
		r.ready.Store(true)
		r.recordEvent("ready", "", "", "")
	}
}

// recordRefusal counts and logs a refusal and passes it to the waiting request.
func (r *Router) recordRefusal(e dtstate.Refuse) {
	refusal := e.Refusal
	r.Meter.CountRefusal(refusal.Reason.String(), refusal.Ran.String())
	r.addToTimeline("refused", string(refusal.Account), refusal.Request, refusal.Reason.String()+" "+refusal.Ran.String())
	r.logger.Info("event", "step", "refused", "refusal", refusal.ID(), "request", string(refusal.Request),
		"account", string(refusal.Account), "reason", refusal.Reason.String(), "ran", refusal.Ran.String())
	r.Gateway.Deliver(refusal.Request, e)
}

func (r *Router) resetLink(peer dtstate.RouterID) {
	r.links.ResetLink(peer)
}

func (r *Router) callPlatform(e dtstate.PlatformCall) {
	ev, err := r.Store.Call(e)
	if err != nil {
		r.RecordFailure("platform_lost", e.Key, "", err)
	}
	r.Loop.Post(ev)
}

// recordIfError records the failure, if any, of an effect that posts no result to the reducer.
func (r *Router) recordIfError(step, peer string, err error) {
	if err != nil {
		r.RecordFailure(step, peer, "", err)
	}
}

// DecodeRecord parses a configuration record for one site; the event carries either the site
// or the problem.
func DecodeRecord(record *dtstate.ConfigRecord, site string) dtstate.ConfigDecoded {
	ev := dtstate.ConfigDecoded{Record: record}
	overlay := dtconfig.Source{File: site, Text: record.OverlayOf(site)}
	parsed, err := dtconfig.ParseSite(dtconfig.Source{File: "base", Text: record.Base}, overlay)
	if err != nil {
		ev.Problem = err.Error()
		return ev
	}
	ev.Site = parsed
	return ev
}

// WriteMetrics writes all metrics in the Prometheus text format.
func (r *Router) WriteMetrics(w *bytes.Buffer) { r.Meter.Write(w) }
