package dtbudget

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/dottereltack/dottereltack/core/dtintake"
)

// Register adds the gauges of what callers hold, of the receive buffers by kind of connection, and of their limits.
func (b *Budget) Register(set *metrics.Set, l dtintake.Limits) {
	for name, value := range map[string]func() int64{
		"dottereltack_intake_bytes":           func() int64 { return b.Usage().Bytes },
		"dottereltack_intake_bytes_max":       func() int64 { return l.Bytes },
		"dottereltack_intake_connections":     func() int64 { return int64(b.Usage().Conns) },
		"dottereltack_intake_connections_max": func() int64 { return int64(l.MaxConns) },
	} {
		set.NewGauge(name, func() float64 { return float64(value()) })
	}
	for kind, buffers := range map[string]struct {
		used  func() int64
		limit int64
	}{
		"callers": {func() int64 { return b.Usage().ReceiveBytes }, l.CallerReceiveBytes},
		"servers": {b.servers.Used, l.ServerReceiveBytes},
		"tunnels": {b.tunnels.Used, l.TunnelReceiveBytes},
		"peers":   {b.peers.Used, l.PeerReceiveBytes},
	} {
		set.NewGauge(`dottereltack_receive_buffer_bytes{conns="`+kind+`"}`, func() float64 { return float64(buffers.used()) })
		set.NewGauge(`dottereltack_receive_buffer_bytes_max{conns="`+kind+`"}`, func() float64 { return float64(buffers.limit) })
	}
}
