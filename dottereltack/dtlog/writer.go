package dtlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// TimeFormat is the time format of log lines: RFC 3339 with milliseconds.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// maxQueuedLines is the number of lines that may wait for a slow output.
const maxQueuedLines = 2048

// Writer queues lines for an output; it drops and counts the lines that do not fit in the
// queue.
type Writer struct {
	lines     chan []byte
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
	dropped   atomic.Uint64
}

// NewWriter returns a writer that writes its lines to w from a goroutine of its own until
// Close.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write implements io.Writer; it never blocks and never fails, and after Close it drops all
// lines.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case <-l.closing:
		l.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (l *Writer) Dropped() uint64 { return l.dropped.Load() }

// Close writes the queued lines and stops the writer; it may be called more than once.
func (l *Writer) Close() {
	l.closeOnce.Do(func() { close(l.closing) })
	<-l.done
}

// run writes the queued lines. Before each line it reports the lines dropped since the last
// report.
func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	reported := uint64(0)
	for {
		select {
		case line := <-l.lines:
			reported = l.reportDropped(w, reported)
			_, _ = w.Write(line)
		case <-l.closing:
			l.flush(w)
			l.reportDropped(w, reported)
			return
		}
	}
}

func (l *Writer) flush(w io.Writer) {
	for {
		select {
		case line := <-l.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// reportDropped writes how many lines were dropped beyond those already reported and
// returns the new count.
func (l *Writer) reportDropped(w io.Writer, reported uint64) uint64 {
	n := l.dropped.Load()
	if n != reported {
		now := time.Now().UTC().Format(TimeFormat)
		_, _ = fmt.Fprintf(w, "time=%s level=warn msg=event step=log_dropped lines=%d\n", now, n-reported)
	}
	return n
}
