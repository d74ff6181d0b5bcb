package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in dir.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes one line with the seconds since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
