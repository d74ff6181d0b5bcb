package dtengine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltack/dottereltack/core/dtapi"
)

// Cache is an LRU cache of prompt prefixes, bounded by their total number of tokens.
type Cache struct {
	MaxTokens  int
	usedTokens int
	lru        *list.List
	byHash     map[uint64]*list.Element
}

type cacheEntry struct {
	hash   uint64
	tokens int // Tokens of the last message only.
}

// NewCache returns an empty cache for up to maxTokens tokens.
func NewCache(maxTokens int) *Cache {
	return &Cache{MaxTokens: maxTokens, lru: list.New(), byHash: map[uint64]*list.Element{}}
}

// Prefix identifies a prompt up to and including one of its messages.
type Prefix struct {
	Hash   uint64 // Of the roles and contents of all messages of the prefix.
	Tokens int    // Tokens of the last message only.
}

// bytesPerToken is the size of message content that counts as one token.
const bytesPerToken = 4

// Prefixes returns one prefix for each message of a prompt, shortest first.
func Prefixes(messages []dtapi.ChatMessage) []Prefix {
	var digest xxhash.Digest
	digest.Reset()
	prefixes := make([]Prefix, 0, len(messages))
	for _, m := range messages {
		_, _ = digest.WriteString(m.Role)
		_, _ = digest.Write(m.Content)
		prefixes = append(prefixes, Prefix{Hash: digest.Sum64(), Tokens: max(len(m.Content)/bytesPerToken, 1)})
	}
	return prefixes
}

// Lookup returns the number of leading tokens of the prompt that are cached, and marks
// their entries as recently used.
func (c *Cache) Lookup(prefixes []Prefix) int {
	cachedTokens := 0
	for _, p := range prefixes {
		elem, ok := c.byHash[p.Hash]
		if !ok {
			break
		}
		c.lru.MoveToFront(elem)
		cachedTokens += p.Tokens
	}
	return cachedTokens
}

// Add caches the prefixes of a prompt and evicts the least recently used prefixes that
// exceed MaxTokens.
func (c *Cache) Add(prefixes []Prefix) {
	for _, p := range prefixes {
		if elem, ok := c.byHash[p.Hash]; ok {
			c.lru.MoveToFront(elem)
			continue
		}
		c.byHash[p.Hash] = c.lru.PushFront(cacheEntry{p.Hash, p.Tokens})
		c.usedTokens += p.Tokens
	}
	for c.usedTokens > c.MaxTokens && c.lru.Len() > 0 {
		c.evict(c.lru.Back())
	}
}

func (c *Cache) evict(elem *list.Element) {
	evicted, ok := c.lru.Remove(elem).(cacheEntry)
	if ok {
		delete(c.byHash, evicted.hash)
		c.usedTokens -= evicted.tokens
	}
}
