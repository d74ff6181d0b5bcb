package dtmeter

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds the metrics of one router.
type Meter struct {
	Set *metrics.Set
}

// New returns an empty meter.
func New() *Meter { return &Meter{Set: metrics.NewSet()} }

// Control counts a control message of a kind and its bytes, in direction "in" or "out".
func (m *Meter) Control(kind, direction string, bytes int) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_control_bytes_total{kind=%q,direction=%q}`, kind, direction)).Add(bytes)
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_control_messages_total{kind=%q,direction=%q}`, kind, direction)).Inc()
}

// Shed counts a control message that was dropped to stay within the budget for control traffic.
func (m *Meter) Shed(kind string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_control_shed_total{kind=%q}`, kind)).Inc()
}

// Request counts a request by its outcome.
func (m *Meter) Request(group, end string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_requests_total{group=%q,end=%q}`, group, end)).Inc()
}

// Attempt counts a failed attempt at a backend server by its outcome.
func (m *Meter) Attempt(outcome string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_attempts_failed_total{outcome=%q}`, outcome)).Inc()
}

// Refusal counts a refused request by reason and by whether it ran.
func (m *Meter) Refusal(reason, ran string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_refusals_total{reason=%q,ran=%q}`, reason, ran)).Inc()
}

// Platform counts a call to the platform by its outcome.
func (m *Meter) Platform(call, end string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`dottereltack_platform_calls_total{call=%q,end=%q}`, call, end)).Inc()
}

// Step counts a step of the reducer and its duration.
func (m *Meter) Step(d time.Duration) {
	m.Set.GetOrCreateCounter(`dottereltack_steps_total`).Inc()
	m.Set.GetOrCreateFloatCounter(`dottereltack_step_seconds_total`).Add(d.Seconds())
}

// FirstByte records the time to the first byte of a response.
func (m *Meter) FirstByte(group string, d time.Duration) {
	m.Set.GetOrCreateHistogram(fmt.Sprintf(`dottereltack_first_byte_seconds{group=%q}`, group)).Update(d.Seconds())
}

// Answer records the time until a request was complete, by kind of route.
func (m *Meter) Answer(kind string, d time.Duration) {
	m.Set.GetOrCreateHistogram(fmt.Sprintf(`dottereltack_answer_seconds{kind=%q}`, kind)).Update(d.Seconds())
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) {
	m.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
