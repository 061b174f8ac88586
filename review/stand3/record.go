package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	text  *bufio.Writer
	began time.Time
}

// newRecord creates the record of a case.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // The caller names the folder of its case.
	if err != nil {
		return nil, err
	}
	return &record{file: file, text: bufio.NewWriter(file), began: time.Now()}, nil
}

// line writes a line.
func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.text, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, values...)...) // Close reports errors.
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, values ...any) {
	r.line(format, values...)
	fmt.Printf(format+"\n", values...)
}

// close ends the record.
func (r *record) close() error {
	if err := r.text.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
