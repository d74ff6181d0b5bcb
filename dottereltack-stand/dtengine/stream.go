package dtengine

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// stream is one response and its progress. Fields that change after newStream are guarded
// by the engine's mutex.
type stream struct {
	requestID        string
	seed             uint64 // Hash of the prompt, which determines the generated text.
	totalTokens      uint32
	generatedTokens  uint32 // Number of tokens generated so far.
	promptTokens     int
	cachedTokens     int // Number of leading prompt tokens found in the cache.
	prefixes         []Prefix
	remainingPrefill time.Duration
	decodeTime       time.Duration // Compute time spent on the next token.
	finished         bool
	cancelled        bool // By the client, or because the retention has passed.
	readers          int
	lastReadAt       time.Time
	progress         chan struct{} // Wakes a reader when a token is generated.
	aborted          chan struct{} // Closed when the engine crashes.
}

func newStream(requestID string, prefixes []Prefix, totalTokens uint32, now time.Time) *stream {
	s := &stream{requestID: requestID, prefixes: prefixes, totalTokens: totalTokens, lastReadAt: now}
	s.progress = make(chan struct{}, 1)
	s.aborted = make(chan struct{})
	for _, p := range prefixes {
		s.promptTokens += p.Tokens
		s.seed = p.Hash
	}
	return s
}

// advance spends computeTime on the prefill or, once that is done, on the next token,
// which takes tokenTime. It reports whether the stream stays in the batch.
func (s *stream) advance(now time.Time, computeTime, tokenTime time.Duration) bool {
	if s.cancelled {
		return false
	}
	if s.readers > 0 {
		s.lastReadAt = now
	}
	if s.remainingPrefill > 0 {
		s.remainingPrefill -= computeTime
		return true
	}
	s.decodeTime += computeTime
	if s.decodeTime < tokenTime {
		return true
	}
	s.decodeTime -= tokenTime
	s.generatedTokens++
	s.finished = s.generatedTokens >= s.totalTokens
	s.notifyReader()
	return !s.finished
}

func (s *stream) notifyReader() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// abort ends the responses that read from the stream.
func (s *stream) abort() { close(s.aborted) }

// tokenText returns the text of a token, which is the same on every engine.
func tokenText(seed uint64, index uint32) string {
	var input strings.Builder
	input.WriteString(strconv.FormatUint(seed, 16))
	input.WriteByte(':')
	input.WriteString(strconv.FormatUint(uint64(index), 10))
	return "t" + strconv.FormatUint(xxhash.Sum64String(input.String())&0xffff, 16) + " "
}

// ExpectedText returns the text that every engine generates for a prompt of at least one message.
func ExpectedText(prefixes []Prefix, totalTokens uint32) string {
	seed := prefixes[len(prefixes)-1].Hash
	var text strings.Builder
	for index := range totalTokens {
		text.WriteString(tokenText(seed, index))
	}
	return text.String()
}
