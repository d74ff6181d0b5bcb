package dtapi

import "encoding/json"

// Paths of the platform's HTTP API.
const (
	PathKey   = "/kv"
	PathWatch = "/watch"
	PathList  = "/list"
	PathHosts = "/hosts"
)

// KeyValue is one entry of the platform's key-value store; revision zero means that the key
// does not exist.
type KeyValue struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// PutRequest is a request to write a key if its current revision equals Revision.
type PutRequest struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
	TTLMs    int64           `json:"ttl_ms,omitempty"`
}

// HostEntry is one host of the platform's host list, which may lag behind changes.
type HostEntry struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	Group         string `json:"group"`
	Draining      bool   `json:"leaving"`
	Gone          bool   `json:"gone"`
	Revision      uint64 `json:"revision"`
}
