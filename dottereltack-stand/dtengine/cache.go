package dtengine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereltack/dottereltack/core/dtapi"
)

// Cache is an LRU cache of prompt prefixes, bounded by the number of tokens it holds.
type Cache struct {
	MaxTokens  int
	usedTokens int
	lru        *list.List
	byHash     map[uint64]*list.Element
}

// cacheEntry holds the hash of a prefix and the number of tokens that its last message
// adds to the prefix before it.
type cacheEntry struct {
	hash   uint64
	tokens int
}

// NewCache returns an empty cache that holds up to maxTokens tokens.
func NewCache(maxTokens int) *Cache {
	return &Cache{MaxTokens: maxTokens, lru: list.New(), byHash: map[uint64]*list.Element{}}
}

// Prefix identifies a prompt up to and including one of its messages by a hash. Tokens
// counts the tokens of that last message only.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// bytesPerToken is the number of bytes of message content that count as one token.
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

// Add caches the prefixes of a prompt and evicts the least recently used entries until
// the cache is within MaxTokens.
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
