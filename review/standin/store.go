package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is an item of the store, or the deletion of one.
type Item struct {
	Key             string `json:"key"`
	Data            []byte `json:"data,omitempty"`
	Revision        uint64 `json:"revision"`
	CreatedRevision uint64 `json:"createdRev,omitempty"`
	LeaseID         uint64 `json:"leaseId"`
	Deleted         bool   `json:"deleted,omitempty"`
}

// Lease is a lease of the store.
type Lease struct {
	TTL    time.Duration
	EndsAt time.Time
}

// Store stands in for the platform's metadata store, as PROTOCOL.md describes it.
type Store struct {
	Address string

	mu       sync.Mutex
	items    map[string]Item
	events   []Item
	leases   map[uint64]*Lease
	revision uint64
	changed  chan struct{}
	delay    time.Duration
}

// StartStore starts a store at a free port of ip.
func StartStore(ip string) (*Store, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: ln.Addr().String(), items: map[string]Item{}, leases: map[uint64]*Lease{},
		revision: 1, changed: make(chan struct{}), delay: 4 * time.Millisecond,
	}
	go func() { _ = http.Serve(ln, http.HandlerFunc(s.serve)) }()
	go s.expireLeases()
	return s, nil
}

// Put writes an item, as the operator and the workers do.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, text, 0)
}

// Drop removes an item.
func (s *Store) Drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// Get returns the value of an item.
func (s *Store) Get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Data)
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) put(key string, data []byte, leaseID uint64) {
	s.revision++
	item := Item{Key: key, Data: data, Revision: s.revision, CreatedRevision: s.revision, LeaseID: leaseID}
	if old, ok := s.items[key]; ok {
		item.CreatedRevision = old.CreatedRevision
	}
	s.items[key] = item
	s.announce(item)
}

func (s *Store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.announce(Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) announce(item Item) {
	s.events = append(s.events, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expireLeases() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if time.Now().After(lease.EndsAt) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.LeaseID == id {
			s.drop(key)
		}
	}
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	path := strings.TrimPrefix(r.URL.Path, "/api/kv-")
	switch {
	case r.Method == http.MethodGet && path == "key":
		s.serveKey(w, r)
	case r.Method == http.MethodGet && path == "range":
		s.serveRange(w, r)
	case r.Method == http.MethodGet && path == "watch":
		s.serveWatch(w, r)
	case r.Method == http.MethodPost && path == "txn":
		s.serveTxn(w, r)
	case r.Method == http.MethodPost && path == "lease":
		s.serveLease(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "lease-end/"):
		s.mu.Lock()
		s.endLease(number(strings.TrimPrefix(path, "lease-end/")))
		s.mu.Unlock()
		respond(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func respond(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, item)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	entries, hasMore := []Item{}, false
	keys := s.Keys(prefix)
	s.mu.Lock()
	at := s.revision
	for _, key := range keys {
		if key <= after {
			continue
		}
		if len(entries) == pageSize {
			hasMore = true
			break
		}
		if item, ok := s.items[key]; ok {
			entries = append(entries, item)
		}
	}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": hasMore, "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, after := q.Get("prefix"), number(q.Get("after"))
	end := time.After(time.Duration(number(q.Get("waitMs"))) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []Item{}, s.revision, s.changed
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, event := range s.events[first:] {
			if strings.HasPrefix(event.Key, prefix) {
				events = append(events, event)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			respond(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	body := struct {
		Precondition []Item   `json:"precondition"`
		Write        []Item   `json:"write"`
		Drop         []string `json:"drop"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			respond(w, http.StatusPreconditionFailed, map[string]any{"entries": []Item{}})
			return
		}
	}
	for _, item := range body.Write {
		if item.LeaseID != 0 && s.leases[item.LeaseID] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, item := range body.Write {
		s.put(item.Key, item.Data, item.LeaseID)
	}
	for _, key := range body.Drop {
		s.drop(key)
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	body := struct {
		TTLMs int64 `json:"ttlMs"`
	}{}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &Lease{TTL: ttl, EndsAt: time.Now().Add(ttl)}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"leaseId": id, "ttlMs": body.TTLMs})
}

func (s *Store) serveKeep(w http.ResponseWriter, id string) {
	s.mu.Lock()
	lease := s.leases[number(id)]
	if lease != nil {
		lease.EndsAt = time.Now().Add(lease.TTL)
	}
	s.mu.Unlock()
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, map[string]any{"ttlMs": lease.TTL.Milliseconds()})
}
