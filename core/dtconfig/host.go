package dtconfig

// Default values of host settings.
const (
	DefaultShutdownTimeoutMs     = 30_000
	DefaultMaxBodyBytes          = 4 << 20
	DefaultQueueCapacity         = 16_384
	DefaultControlBytesPerSecond = 17_000
)

const maxMemoryMB = 1 << 20

// Host holds the settings of one entry host.
type Host struct {
	Router                string   `json:"router"`
	FailureDomain         string   `json:"failure_domain"`
	Region                string   `json:"region"`
	Site                  string   `json:"site"` // Selects the overlay of the configuration.
	CallersAddress        string   `json:"callers_address"`
	PeersAddress          string   `json:"peers_address"`
	PeersAdvertised       string   `json:"peers_advertised"` // Address that peers connect to, if not PeersAddress.
	OperatorsAddress      string   `json:"operators_address"`
	PlatformAddress       string   `json:"platform_address"`
	Seeds                 []string `json:"seeds"`     // Addresses of routers through which to join the fleet.
	PeerKeys              []string `json:"peer_keys"` // Keys shared by all routers; the first also authenticates operators.
	ShutdownTimeoutMs     int      `json:"stop_within_ms"`
	MaxBodyBytes          int      `json:"max_body_bytes"`
	MemoryMB              int      `json:"memory_mb"`                // Memory that the process may use, in MiB; zero for that of the machine.
	MaxDescriptors        int      `json:"max_descriptors"`          // That the process may open; zero for the limit of the operating system.
	QueueCapacity         int      `json:"queue_events"`             // New requests that may wait for the reducer.
	ControlBytesPerSecond int      `json:"control_bytes_per_second"` // Budget for messages to other routers.
	TLSCertFile           string   `json:"tls_cert_file"`
	TLSKeyFile            string   `json:"tls_key_file"`
}

// ParseHost parses and validates the settings of one host; errors are of type *FieldError.
func ParseHost(src Source) (*Host, error) {
	h := &Host{}
	if err := decodeSource(src, h); err != nil {
		return nil, err
	}
	setIfZero(&h.ShutdownTimeoutMs, DefaultShutdownTimeoutMs)
	setIfZero(&h.MaxBodyBytes, DefaultMaxBodyBytes)
	setIfZero(&h.QueueCapacity, DefaultQueueCapacity)
	setIfZero(&h.ControlBytesPerSecond, DefaultControlBytesPerSecond)
	if fieldErr := h.validate(); fieldErr != nil {
		return nil, setPosition(fieldErr, src)
	}
	return h, nil
}

// AdvertisedAddress returns the address at which peers reach the router.
func (h *Host) AdvertisedAddress() string {
	if h.PeersAdvertised != "" {
		return h.PeersAdvertised
	}
	return h.PeersAddress
}

// validate returns the first error in h, or nil.
func (h *Host) validate() *FieldError {
	if h.MemoryMB < 0 || h.MemoryMB > maxMemoryMB {
		return &FieldError{Field: "memory_mb", Reason: "must be from 0 to 1048576"}
	}
	if h.MaxDescriptors < 0 {
		return &FieldError{Field: "max_descriptors", Reason: "must not be negative"}
	}
	required := []struct{ field, value string }{
		{"router", h.Router},
		{"failure_domain", h.FailureDomain},
		{"region", h.Region},
	}
	for _, r := range required {
		if r.value == "" {
			return &FieldError{Field: r.field, Reason: "is missing"}
		}
	}
	addresses := []struct{ field, value string }{
		{"callers_address", h.CallersAddress},
		{"peers_address", h.PeersAddress},
		{"operators_address", h.OperatorsAddress},
		{"platform_address", h.PlatformAddress},
	}
	for _, a := range addresses {
		if fieldErr := validateAddress(a.field, a.value); fieldErr != nil {
			return fieldErr
		}
	}
	if h.PeersAdvertised != "" {
		if fieldErr := validateAddress("peers_advertised", h.PeersAdvertised); fieldErr != nil {
			return fieldErr
		}
	}
	for _, seed := range h.Seeds {
		if fieldErr := validateAddress("seeds", seed); fieldErr != nil {
			return fieldErr
		}
	}
	return h.validateKeys()
}

// validateKeys returns the first error in the peer keys and TLS files of h, or nil.
func (h *Host) validateKeys() *FieldError {
	const minKeyBytes, maxKeys = 16, 2
	if len(h.PeerKeys) < 1 || len(h.PeerKeys) > maxKeys {
		return &FieldError{Field: "peer_keys", Reason: "one key is required, or two during key rotation"}
	}
	for _, key := range h.PeerKeys {
		if len(key) < minKeyBytes {
			return &FieldError{Field: "peer_keys", Reason: "a key must have at least 16 characters"}
		}
	}
	if (h.TLSCertFile == "") != (h.TLSKeyFile == "") {
		return &FieldError{Field: "tls_cert_file", Reason: "certificate and key must be set together"}
	}
	return nil
}
