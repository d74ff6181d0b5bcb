package dtmeter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter is the set of metrics of one router.
type Meter struct {
	Set *metrics.Set
}

// New returns an empty meter.
func New() *Meter { return &Meter{Set: metrics.NewSet()} }

// CountControlMessage counts a control message and its bytes by kind and by direction, "in"
// or "out".
func (m *Meter) CountControlMessage(kind, direction string, bytes int) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_control_bytes_total{kind=%q,direction=%q}`, kind, direction)).Add(bytes)
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_control_messages_total{kind=%q,direction=%q}`, kind, direction)).Inc()
}

// CountShedMessage counts a control message that was dropped to stay within the budget for
// control traffic.
func (m *Meter) CountShedMessage(kind string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_control_shed_total{kind=%q}`, kind)).Inc()
}

// CountUnreadableMessage counts a message of another router that could not be read, by kind.
func (m *Meter) CountUnreadableMessage(kind string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_unreadable_messages_total{kind=%q}`, kind)).Inc()
}

// CountConfig counts a configuration by what has become of it: "in_force", or why it was rejected.
func (m *Meter) CountConfig(outcome string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_configurations_total{outcome=%q}`, outcome)).Inc()
}

// CountRequest counts a request by group and outcome.
func (m *Meter) CountRequest(group, outcome string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_requests_total{group=%q,end=%q}`, group, outcome)).Inc()
}

// CountFailedAttempt counts a failed attempt at a backend server by its outcome.
func (m *Meter) CountFailedAttempt(outcome string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_attempts_failed_total{outcome=%q}`, outcome)).Inc()
}

// CountResponseEnd counts a response that has ended with its connection by what was known of its end.
func (m *Meter) CountResponseEnd(outcome string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_response_ends_total{outcome=%q}`, outcome)).Inc()
}

// CountRetry counts a retry that the retry budget has allowed, or refused, by outcome.
func (m *Meter) CountRetry(outcome string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_retries_total{outcome=%q}`, outcome)).Inc()
}

// CountWait counts a request that has waited in this router for room at the servers, by what has ended its wait.
func (m *Meter) CountWait(service, outcome string, waited time.Duration) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_waits_total{service=%q,end=%q}`, service, outcome)).Inc()
	m.Set.GetOrCreateHistogram(fmt.Sprintf(`dottereltack_wait_seconds{service=%q}`, service)).Update(waited.Seconds())
}

// SetWaiting sets how many requests wait in this router for room at the servers of a service.
func (m *Meter) SetWaiting(service string, n int) {
	m.Set.GetOrCreateGauge(fmt.Sprintf(`dottereltack_requests_waiting{service=%q}`, service), nil).Set(float64(n))
}

// CountStreamRecord counts a stream whose version had to be recorded, by how: "listed", "held" or "told".
func (m *Meter) CountStreamRecord(outcome string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_streams_recorded_total{outcome=%q}`, outcome)).Inc()
}

// CountStreamLookup counts a lookup of the version that began a stream, by whether it is "certain" and by what it is worked out from.
func (m *Meter) CountStreamLookup(outcome, source string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_stream_lookups_total{outcome=%q,source=%q}`, outcome, source)).Inc()
}

// CountServerNotice counts an announcement of a backend server, "leaving" or "backoff".
func (m *Meter) CountServerNotice(notice string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_server_notices_total{notice=%q}`, notice)).Inc()
}

// CountServerPace counts a change of the pace of a backend server: "started", "restarted", "decreased" or "over".
func (m *Meter) CountServerPace(change string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_server_paces_total{change=%q}`, change)).Inc()
}

// CountTunnel counts a request of another router for a tunnel by its result.
func (m *Meter) CountTunnel(result string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_tunnels_total{result=%q}`, result)).Inc()
}

// CountClosing counts a connection of a caller that was closed, or a request that was refused, for lack of room, by reason
// and by what the connection was doing.
func (m *Meter) CountClosing(reason, stage string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_intake_closed_total{reason=%q,stage=%q}`, reason, stage)).Inc()
}

// CountRefusal counts a refused request by reason and by whether it ran.
func (m *Meter) CountRefusal(reason, ran string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_refusals_total{reason=%q,ran=%q}`, reason, ran)).Inc()
}

// CountPlatformCall counts a call to the platform by operation and outcome.
func (m *Meter) CountPlatformCall(call, outcome string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_platform_calls_total{call=%q,end=%q}`, call, outcome)).Inc()
}

// ObserveStep counts a step of the reducer and adds up its duration.
func (m *Meter) ObserveStep(d time.Duration) {
	m.Set.GetOrCreateCounter(`dottereltack_steps_total`).Inc()
	m.Set.GetOrCreateFloatCounter(`dottereltack_step_seconds_total`).Add(d.Seconds())
}

// ObserveFirstByte records the time to the first byte of a response.
func (m *Meter) ObserveFirstByte(group string, d time.Duration) {
	m.Set.GetOrCreateHistogram(fmt.Sprintf(`dottereltack_first_byte_seconds{group=%q}`, group)).Update(d.Seconds())
}

// ObserveRequestDuration records the duration of a request by kind of route.
func (m *Meter) ObserveRequestDuration(kind string, d time.Duration) {
	m.Set.GetOrCreateHistogram(fmt.Sprintf(`dottereltack_answer_seconds{kind=%q}`, kind)).Update(d.Seconds())
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) {
	m.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
