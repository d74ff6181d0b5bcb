package dtprocess

import (
	"sync"
	"time"
)

// Peak is the most that a process has held of each kind in any sample.
type Peak struct {
	MemoryBytes   int64 // Resident and unread in the same sample, or resident at any time.
	ResidentBytes int64
	UnreadBytes   int64
	Descriptors   int
}

// Add adds a sample.
func (p *Peak) Add(u *Usage) {
	p.MemoryBytes = max(p.MemoryBytes, u.MemoryBytes())
	p.ResidentBytes = max(p.ResidentBytes, u.ResidentBytes)
	p.UnreadBytes = max(p.UnreadBytes, u.UnreadBytes)
	p.Descriptors = max(p.Descriptors, u.Descriptors)
}

// Watch samples a process.
type Watch struct {
	pid   int
	done  chan struct{}
	group sync.WaitGroup
	peak  Peak
}

// NewWatch samples a process each interval until Stop.
func NewWatch(pid int, interval time.Duration) *Watch {
	w := &Watch{pid: pid, done: make(chan struct{})}
	w.group.Go(func() {
		for {
			w.sample()
			select {
			case <-w.done:
				return
			case <-time.After(interval):
			}
		}
	})
	return w
}

func (w *Watch) sample() {
	u := Read(w.pid)
	w.peak.Add(&u)
}

// Stop ends the samples and returns the peak.
func (w *Watch) Stop() Peak {
	close(w.done)
	w.group.Wait()
	w.peak.ResidentBytes = max(w.peak.ResidentBytes, StatusBytes(w.pid, "VmHWM:"))
	w.peak.MemoryBytes = max(w.peak.MemoryBytes, w.peak.ResidentBytes)
	return w.peak
}
