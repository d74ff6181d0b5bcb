package dtconfig

import "sort"

// Default values of a site's configuration.
const (
	DefaultLoadBound           = 1.25
	DefaultRetryRatio          = 0.1
	DefaultFirstByteTimeoutMs  = 10_000
	DefaultOrderWindowSeconds  = 900
	DefaultRampMs              = 10_000
	DefaultMaxHomeWaitMs       = 300
	DefaultModelLoadsPerMinute = 12
	DefaultMaxQueuedPerAccount = 256
	DefaultMaxQueuedPerShard   = 4096
	DefaultMaxRequestsInFlight = 50_000
	DefaultMaxInFlight         = 16
	DefaultColdMaxInFlight     = 2
	DefaultSlowFirstTokenMs    = 2_000
	DefaultAccountWeight       = 1
)

// Site is the configuration of a site: the base configuration with the site's overlay applied.
type Site struct {
	Groups              map[string]Group         `json:"groups"`
	Accounts            map[string]Account       `json:"accounts"`
	FailureDomains      map[string]FailureDomain `json:"failure_domains"`
	OutOfServiceDomains []string                 `json:"domains_out"` // Failure domains out of service.
	Limits              Limits                   `json:"limits"`
}

// Group configures the backend servers of one role.
type Group struct {
	Kind             string          `json:"kind"`
	MaxInFlight      int             `json:"max_inflight"`
	ColdMaxInFlight  int             `json:"cold_cap"`            // MaxInFlight of a server that is still cold.
	SlowFirstTokenMs int             `json:"first_token_slow_ms"` // Time to the first token above which a warm server counts as slow.
	Calls            map[string]Call `json:"calls"`               // By name; only for KindService.
}

// Call configures one call of a group of kind KindService.
type Call struct {
	Idempotent bool `json:"idempotent"`
}

// Account configures one client account; its API keys are given as SHA-256 digests in
// hexadecimal.
type Account struct {
	KeyDigests []string `json:"key_digests"`
	Weight     float64  `json:"weight"` // Share of the account relative to others.
	Batch      bool     `json:"batch"`  // All requests of the account have batch priority.
}

// FailureDomain configures one failure domain.
type FailureDomain struct {
	Region string `json:"region"`
}

// Limits configures the limits, timeouts and placement policy of the reducer.
type Limits struct {
	LoadBound           float64 `json:"load_bound"`              // Bound on the load of a server relative to the mean of its group.
	RetryRatio          float64 `json:"retry_ratio"`             // Retries that each completed request adds to the budget.
	FirstByteTimeoutMs  int     `json:"first_byte_ms"`           // Callers may set a shorter one per request.
	OrderWindowSeconds  int     `json:"order_window_s"`          // Age up to which an idempotency key is accepted.
	RampMs              int     `json:"ramp_ms"`                 // Duration over which chats gradually return to a failure domain that is back in service.
	MaxHomeWaitMs       int     `json:"home_wait_ms"`            // Longest wait for the server that ranks first for a chat.
	ModelLoadsPerMinute int     `json:"weight_loads_per_minute"` // Fleet-wide limit on model loads from the weight store.
	MaxQueuedPerAccount int     `json:"queue_per_account"`
	MaxQueuedPerShard   int     `json:"queue_per_shard"`
	MaxRequestsInFlight int     `json:"requests_in_flight"` // Per router.
	Policy              string  `json:"policy"`
}

// Kinds of groups.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Placement policies. All but PolicyAffinityBounded exist for comparison only.
const (
	PolicyAffinityBounded = "affinity_bounded"
	PolicyRendezvous      = "rendezvous"
	PolicyLeastLoaded     = "least_loaded"
	PolicyRandom          = "random"
)

// SortedKeys returns the keys of m in ascending order.
func SortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// setDefaults replaces each zero value that has a default; a configured zero counts as absent.
func (s *Site) setDefaults() {
	setIfZero(&s.Limits.LoadBound, DefaultLoadBound)
	setIfZero(&s.Limits.RetryRatio, DefaultRetryRatio)
	setIfZero(&s.Limits.FirstByteTimeoutMs, DefaultFirstByteTimeoutMs)
	setIfZero(&s.Limits.OrderWindowSeconds, DefaultOrderWindowSeconds)
	setIfZero(&s.Limits.RampMs, DefaultRampMs)
	setIfZero(&s.Limits.MaxHomeWaitMs, DefaultMaxHomeWaitMs)
	setIfZero(&s.Limits.ModelLoadsPerMinute, DefaultModelLoadsPerMinute)
	setIfZero(&s.Limits.MaxQueuedPerAccount, DefaultMaxQueuedPerAccount)
	setIfZero(&s.Limits.MaxQueuedPerShard, DefaultMaxQueuedPerShard)
	setIfZero(&s.Limits.MaxRequestsInFlight, DefaultMaxRequestsInFlight)
	setIfZero(&s.Limits.Policy, PolicyAffinityBounded)
	for name, g := range s.Groups {
		setIfZero(&g.MaxInFlight, DefaultMaxInFlight)
		setIfZero(&g.ColdMaxInFlight, DefaultColdMaxInFlight)
		setIfZero(&g.SlowFirstTokenMs, DefaultSlowFirstTokenMs)
		s.Groups[name] = g
	}
	for name, a := range s.Accounts {
		setIfZero(&a.Weight, DefaultAccountWeight)
		s.Accounts[name] = a
	}
}

func setIfZero[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
