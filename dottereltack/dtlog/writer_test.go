package dtlog_test

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/dottereltack/dottereltack/dottereltack/dtlog"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

func TestWriteDoesNotBlock(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	w := dtlog.NewWriter(out)
	start := time.Now()
	const lines = 10_000
	for range lines {
		_, err := io.WriteString(w, "line\n")
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	dropped := w.Dropped()
	g.Expect(dropped).To(BeNumerically(">", 0))
	close(out.unblock)
	w.Close()
	g.Expect(out.written.String()).To(ContainSubstring("step=log_dropped"))
	count := bytes.Count(out.written.Bytes(), []byte("line\n"))
	g.Expect(uint64(count)+dropped).To(Equal(uint64(lines)), "each line is either written or counted as dropped")
}

// TestWriteAfterClose covers goroutines that still log while the process exits.
func TestWriteAfterClose(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := dtlog.NewWriter(&out)
	_, _ = io.WriteString(w, "first\n")
	w.Close()
	w.Close()
	_, err := io.WriteString(w, "late\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(Equal("first\n"))
	g.Expect(w.Dropped()).To(BeEquivalentTo(1))
}
