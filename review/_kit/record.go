package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	lines []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f s  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.lines = append(r.lines, text)
	fmt.Fprintln(r.file, text)
}

// last returns the last n lines.
func (r *record) last(n int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.lines[max(0, len(r.lines)-n):], "\n")
}
