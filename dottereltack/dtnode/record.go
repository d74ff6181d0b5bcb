package dtnode

import (
	"cmp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dottereltack/dottereltack/core/dtdispatch"
)

// gauges are the metrics of the reducer's state as of its last step.
type gauges struct {
	requests      atomic.Int64
	heldAtStart   atomic.Int64
	servers       atomic.Int64
	routers       atomic.Int64
	configVersion atomic.Int64
	listedAtMs    atomic.Int64 // Unix milliseconds.
	storeEra      atomic.Int64
	budgetRouters atomic.Int64
	maxClockMs    atomic.Int64
	featureless   atomic.Int64
	rollouts      rolloutGauges
	pacedServers  atomic.Int64
}

func (g *gauges) register(set *metrics.Set) {
	for name, value := range map[string]*atomic.Int64{
		"dottereltack_requests_open":          &g.requests,
		"dottereltack_requests_held_at_start": &g.heldAtStart,
		"dottereltack_servers_known":          &g.servers,
		"dottereltack_routers_known":          &g.routers,
		"dottereltack_configuration_version":  &g.configVersion,
		"dottereltack_store_era":              &g.storeEra,
		"dottereltack_budget_routers":         &g.budgetRouters,
		"dottereltack_routers_featureless":    &g.featureless,
		"dottereltack_servers_paced":          &g.pacedServers,
	} {
		set.NewGauge(name, func() float64 { return float64(value.Load()) })
	}
	g.rollouts.register(set)
	set.NewGauge("dottereltack_clock_difference_max_seconds", func() float64 {
		return (time.Duration(g.maxClockMs.Load()) * time.Millisecond).Seconds()
	})
	set.NewGauge("dottereltack_server_list_age_seconds", func() float64 {
		return time.Since(time.UnixMilli(g.listedAtMs.Load())).Seconds()
	})
}

// AfterStep records the step's duration and updates the metrics of the reducer's state.
func (n *Node) AfterStep(s *dtdispatch.State, took time.Duration) {
	n.Meter.ObserveStep(took)
	n.gauges.requests.Store(int64(len(s.Requests)))
	n.gauges.heldAtStart.Store(int64(len(s.Startup.Held)))
	n.gauges.servers.Store(int64(len(s.Roster.Servers)))
	n.gauges.routers.Store(int64(len(s.Peers.ByName) + 1))
	n.gauges.listedAtMs.Store(s.Roster.ListedAt.UnixMilli())
	n.gauges.storeEra.Store(int64(s.StoreEra))
	n.gauges.budgetRouters.Store(int64(s.BudgetRouters))
	n.gauges.maxClockMs.Store(s.Peers.MaxClockDifference.Milliseconds())
	n.gauges.featureless.Store(int64(s.Peers.Featureless))
	for service, c := range s.Contention {
		n.Meter.SetWaiting(service, c.Queue.Len)
	}
	n.gauges.rollouts.update(s)
	n.gauges.pacedServers.Store(int64(s.Capacity.PacedCount()))
	if s.Config != nil {
		n.gauges.configVersion.Store(s.Config.Version)
	}
}

// record counts and logs a LogRecord effect.
func (n *Node) record(e *dtdispatch.LogRecord) {
	switch e.Event {
	case "configuration", "configuration_rejected":
		n.Meter.CountConfig(e.Outcome)
	case "request":
		n.Meter.CountRequest(e.Kind, e.Outcome)
		n.Meter.ObserveRequestDuration(e.Kind, e.Elapsed)
	case "attempt":
		n.Meter.CountFailedAttempt(e.Outcome)
	case "response_end":
		n.Meter.CountResponseEnd(e.Outcome)
	case "retry":
		n.Meter.CountRetry(e.Outcome)
	case "wait":
		n.Meter.CountWait(e.Subject, e.Outcome, e.Waited)
	case "stream_recorded", "stream_told":
		n.Meter.CountStreamRecord(cmp.Or(e.Outcome, "told"))
	case "stream_version":
		n.Meter.CountStreamLookup(e.Outcome, e.Detail)
	case "server_pace":
		n.Meter.CountServerPace(e.Outcome)
	case "server_leaving", "server_backoff":
		n.Meter.CountServerNotice(strings.TrimPrefix(e.Event, "server_"))
	}
	write := n.Log.Info
	switch e.Event {
	case "attempt", "configuration_rejected", "store_lost", "store_restored", "servers_unreachable", "server_list_ignored", "peer_message_unreadable", "peer_list_ignored", "rollout_status":
		write = n.Log.Warn
	default:
		if e.Status >= 500 {
			write = n.Log.Warn
		}
	}
	write("event", logFields(e)...)
}

// ran returns the label that says whether a refused request ran.
func ran(mayHaveRun bool) string {
	if mayHaveRun {
		return "unknown"
	}
	return "no"
}

func logFields(e *dtdispatch.LogRecord) []any {
	const maxFields = 40
	fields := append(make([]any, 0, maxFields), "step", e.Event)
	add := func(key string, value any, include bool) {
		if include {
			fields = append(fields, key, value)
		}
	}
	add("request", e.RequestID, e.RequestID != "")
	add("peer", e.Subject, e.Subject != "")
	add("via", e.Via, e.Via != "")
	add("outcome", e.Outcome, e.Outcome != "")
	add("status", e.Status, e.Status != 0)
	add("attempt", e.Attempt, e.Attempt != 0)
	add("ms", e.Elapsed.Milliseconds(), e.RequestID != "" || e.Event == "paused" || e.Event == "startup" || e.Event == "rollout" || e.Event == "servers_reachable" || e.Event == "router_clock" || e.Event == "version_record" && e.Elapsed > 0 || e.Event == "stream_versions" && e.Elapsed > 0)
	add("check_ms", e.Waited.Milliseconds(), e.Event == "response_end")
	addWait(e, add)
	add("kind", e.Kind, e.Kind != "")
	add("route", e.Route, e.Route != "")
	add("account", e.Account, e.Account != "")
	add("site", e.ConfigVersion, e.ConfigVersion != 0)
	add("list_age_ms", e.RosterAge.Milliseconds(), e.RosterAge != 0)
	add("routers", e.RouterCount, e.RouterCount != 0)
	add("sharing", e.Sharing, e.Event == "stream_version")
	addRetryUsage(e, add)
	add("stream_age_ms", e.StreamAge.Milliseconds(), e.StreamAge != 0)
	add("version", e.Version, e.Version != "")
	add("rank", e.Placement.Rank, e.Placement.Server != nil)
	add("load", e.Placement.Load, e.Placement.Server != nil)
	add("limit", int(e.Placement.Limit), e.Placement.Server != nil)
	addAnnouncement(e, add)
	add("progress", e.Progress.String(), e.Progress != dtdispatch.ProgressNone || e.Event == "crash_suspect")
	add("framing", e.Framing.String(), e.Framing != dtdispatch.FramingNone)
	add("last_event", e.LastEvent, e.LastEvent != "")
	add("parts", partIDs(e.PromptParts), len(e.PromptParts) > 0)
	add("era", e.Era, e.Era != 0)
	add("list_revision", e.Revision.Number(), e.Revision != 0)
	add("list_era", e.Revision.Era(), e.Revision.Era() != 0)
	add("crashes", e.Crashes, e.Crashes != 0)
	add("stream", e.Stream, e.Stream != "")
	add("copy_from", e.Placement.CacheSource, e.Placement.CacheSource != "")
	add("detail", e.Detail, e.Detail != "")
	return fields
}

// addRetryUsage adds the fields of a retry budget.
func addRetryUsage(e *dtdispatch.LogRecord, add func(key string, value any, include bool)) {
	isSet := e.RouterAge != 0
	add("window_requests", e.Retries.Requests, isSet)
	add("window_retries", e.Retries.Retries, isSet)
	add("retry_limit", e.Retries.Limit, isSet)
	add("retry_slack", e.Retries.Slack, isSet)
	add("router_age_ms", e.RouterAge.Milliseconds(), isSet)
}

// addWait adds the fields of a wait for a turn.
func addWait(e *dtdispatch.LogRecord, add func(key string, value any, include bool)) {
	isWait := e.Event == "wait"
	add("waited_ms", e.Waited.Milliseconds(), isWait)
	add("priority", e.Priority, isWait)
	add("returned", e.IsReturned, isWait)
}

// addAnnouncement adds the fields of what servers state about themselves.
func addAnnouncement(e *dtdispatch.LogRecord, add func(key string, value any, include bool)) {
	add("rate_limit", cmp.Or(e.RateLimit.PerSecond, e.Placement.RateLimit.PerSecond), e.RateLimit.IsSet || e.Placement.RateLimit.IsSet || e.Event == "server_limit")
	add("max_refusals", e.Brittleness.MaxRefusals, e.Brittleness.IsSet)
	add("backoff_ms", e.Backoff.Milliseconds(), e.Backoff != 0)
}

// partIDs returns the hexadecimal IDs of prompt parts, separated by commas.
func partIDs(parts []dtdispatch.PromptPart) string {
	const base = 16
	ids := make([]string, len(parts))
	for i := range parts {
		ids[i] = strconv.FormatUint(parts[i].ID, base)
	}
	return strings.Join(ids, ",")
}
