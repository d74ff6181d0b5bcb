package dtplatform

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/dottereltack/dottereltack/core/dtapi"
)

// Settings configures the platform; a rate of zero means the default.
type Settings struct {
	Address         string `json:"address"`
	HostListLagMs   int    `json:"hosts_lag_ms"` // Time until a change appears in the list of hosts.
	WritesPerSecond int    `json:"writes_per_second"`
	ReadsPerSecond  int    `json:"reads_per_second"`
	Seed            uint64 `json:"seed"` // For the random choice of lost responses.
}

// Default rate limits, and the maximum size of a value.
const (
	defaultWritesPerSecond = 500
	defaultReadsPerSecond  = 2000
	maxValueBytes          = 1 << 20
)

// Faults configures the faults that the platform injects.
type Faults struct {
	Outage            bool    `json:"outage"`     // Reject every call.
	DelayMs           int     `json:"slow_ms"`    // Delay of every call.
	LostResponseRatio float64 `json:"lose_ratio"` // Fraction of calls that take effect but get no response.
}

// CallCounts holds the numbers of calls by kind, and of failed calls by cause.
type CallCounts struct {
	Reads         int `json:"reads"`
	Writes        int `json:"writes"`
	Watches       int `json:"watches"`
	HostLists     int `json:"hosts"`
	Conflicts     int `json:"conflict"`
	RateLimited   int `json:"limited"`
	LostResponses int `json:"lost"`
}

// item is the value of one key.
type item struct {
	revision  uint64
	value     json.RawMessage
	expiresAt time.Time // Zero if the item does not expire.
}

// pendingHost is a host entry that is not in the list of hosts before visibleAt.
type pendingHost struct {
	entry     dtapi.HostEntry
	visibleAt time.Time
}

// Store holds the keys and the list of hosts of the platform, in memory.
type Store struct {
	Settings     Settings
	mu           sync.Mutex
	items        map[string]item
	revision     uint64
	changed      chan struct{} // Closed and replaced at every change of the keys.
	hosts        map[string]dtapi.HostEntry
	pendingHosts []pendingHost
	hostRevision uint64
	faults       Faults
	counts       CallCounts
	rng          *rand.Rand
	writeLimiter tokenBucket
	readLimiter  tokenBucket
	snapshot     map[string]item // Set by SaveSnapshot.
}

// tokenBucket limits calls to rate per second, with bursts of up to one second's worth. It
// starts full, because the zero refilledAt is long past.
type tokenBucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// allow takes a token for a call and reports whether there was one.
func (b *tokenBucket) allow(now time.Time) bool {
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate, b.rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewStore returns an empty store.
func NewStore(settings Settings) *Store {
	if settings.WritesPerSecond == 0 {
		settings.WritesPerSecond = defaultWritesPerSecond
	}
	if settings.ReadsPerSecond == 0 {
		settings.ReadsPerSecond = defaultReadsPerSecond
	}
	return &Store{
		Settings:     settings,
		items:        map[string]item{},
		changed:      make(chan struct{}),
		hosts:        map[string]dtapi.HostEntry{},
		rng:          rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		writeLimiter: tokenBucket{rate: float64(settings.WritesPerSecond)},
		readLimiter:  tokenBucket{rate: float64(settings.ReadsPerSecond)},
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the call counts since the start.
func (s *Store) Counts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get returns the value of a key, or revision zero if the key does not exist.
func (s *Store) Get(key string, now time.Time) dtapi.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(key, now)
}

// getLocked implements Get and deletes the key if it has expired. The caller must hold s.mu.
func (s *Store) getLocked(key string, now time.Time) dtapi.KeyValue {
	it, ok := s.items[key]
	if !ok || !it.expiresAt.IsZero() && now.After(it.expiresAt) {
		delete(s.items, key)
		return dtapi.KeyValue{Key: key}
	}
	return dtapi.KeyValue{Key: key, Revision: it.revision, Value: it.value}
}

// Put writes a key if its revision equals the requested one and the value is at most
// maxValueBytes long, and returns the current value and whether the key was written.
func (s *Store) Put(req dtapi.PutRequest, now time.Time) (dtapi.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.getLocked(req.Key, now)
	if current.Revision != req.Revision || len(req.Value) > maxValueBytes {
		s.counts.Conflicts++
		return current, false
	}
	s.revision++
	it := item{revision: s.revision, value: req.Value}
	if req.TTLMs > 0 {
		it.expiresAt = now.Add(time.Duration(req.TTLMs) * time.Millisecond)
	}
	s.items[req.Key] = it
	close(s.changed)
	s.changed = make(chan struct{})
	return dtapi.KeyValue{Key: req.Key, Revision: it.revision, Value: it.value}, true
}

// List returns the keys that begin with prefix, ordered by key.
func (s *Store) List(prefix string, now time.Time) []dtapi.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []dtapi.KeyValue
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			if kv := s.getLocked(key, now); kv.Revision != 0 {
				found = append(found, kv)
			}
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// Changed returns a channel that is closed at the next change of any key.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetHost adds or replaces a host entry, which appears in the list of hosts after
// Settings.HostListLagMs.
func (s *Store) SetHost(h dtapi.HostEntry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostRevision++
	h.Revision = s.hostRevision
	lag := time.Duration(s.Settings.HostListLagMs) * time.Millisecond
	s.pendingHosts = append(s.pendingHosts, pendingHost{entry: h, visibleAt: now.Add(lag)})
}

// Hosts returns the list of hosts, ordered by ID, as it was Settings.HostListLagMs ago.
func (s *Store) Hosts(now time.Time) []dtapi.HostEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.pendingHosts[:0]
	for _, p := range s.pendingHosts {
		if now.Before(p.visibleAt) {
			pending = append(pending, p)
			continue
		}
		s.hosts[p.entry.ID] = p.entry
	}
	s.pendingHosts = pending
	hosts := make([]dtapi.HostEntry, 0, len(s.hosts))
	for _, h := range s.hosts {
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

// SaveSnapshot saves a copy of all keys for RestoreSnapshot.
func (s *Store) SaveSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = map[string]item{}
	for k, it := range s.items {
		s.snapshot[k] = it
	}
}

// RestoreSnapshot reverts the keys that begin with prefix to the saved copy, as if the
// platform had lost its latest writes.
func (s *Store) RestoreSnapshot(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			delete(s.items, k)
		}
	}
	for k, it := range s.snapshot {
		if strings.HasPrefix(k, prefix) {
			s.items[k] = it
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
