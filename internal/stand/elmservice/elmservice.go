// Package elmservice is a small stand-in for a plain service with calls that
// may not be repeated, such as filing a work order. It counts the executions
// of each key, so that an observer sees a second one.
//
// # Usage
//
//	service := elmservice.New(10 * time.Millisecond)
//	server := httptest.NewServer(service.Handler())
//	runs := service.Executions()["0192..."]
package elmservice

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// KeyHeader names the header in which agents pass on the idempotency key.
const KeyHeader = "Elmcove-Key"

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	delay      time.Duration
	mutex      sync.Mutex
	executions map[string]int
	breaks     int
}

// New returns a service whose calls take the given time.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, executions: map[string]int{}}
}

// Handler serves the service's interface, and the stand-in's own below
// /control/.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handleCall)
	mux.HandleFunc("POST /control/break", func(http.ResponseWriter, *http.Request) { s.BreakNext() })
	mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Executions()) // The caller has gone.
	})
	return mux
}

// BreakNext lets the next call take effect and then lose its reply.
func (s *Service) BreakNext() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.breaks++
}

// Executions returns the number of executions of each key.
func (s *Service) Executions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.executions)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // The content has no meaning here.
	number, broken := s.execute(r.Header.Get(KeyHeader))
	if broken {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.delay)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"filed\":%d}\n", number)
}

func (s *Service) execute(key string) (number int, broken bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.executions[key]++
	if s.breaks > 0 {
		s.breaks--
		return 0, true
	}
	return len(s.executions), false
}
