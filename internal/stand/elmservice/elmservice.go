// Package elmservice is a small stand-in for a plain service with non-idempotent
// calls, such as filing a work order. It counts the executions of each
// idempotency key, so that a test can detect a duplicate execution.
//
// # Usage
//
//	service := elmservice.New(10 * time.Millisecond)
//	server := httptest.NewServer(service.Handler())
//	executions := service.Executions()["0192..."]
package elmservice

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmbody"
)

// KeyHeader is the header in which agents forward the idempotency key.
const KeyHeader = "Elmcove-Key"

// Service is the stand-in for a plain service. It is safe for concurrent use.
type Service struct {
	delay      time.Duration
	mutex      sync.Mutex
	executions map[string]int
	// ending is how the response to the next call ends, or "".
	ending elmbody.Ending
}

// New returns a service whose calls take the given time.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, executions: map[string]int{}}
}

// Handler returns a handler for the API of the service and the control API of the
// stand-in below /control/.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handleCall)
	mux.HandleFunc("POST /endless/{name}", handleEndless)
	mux.HandleFunc("POST /control/break", func(_ http.ResponseWriter, r *http.Request) {
		s.BreakNext(elmbody.Ending(r.URL.Query().Get("ending")))
	})
	mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Executions()) // The caller may have disconnected.
	})
	return mux
}

// BreakNext sets how the response to the next call ends, after the call took effect.
func (s *Service) BreakNext(ending elmbody.Ending) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ending = ending
}

// Executions returns the number of executions by idempotency key.
func (s *Service) Executions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.executions)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // The service ignores the body.
	number, ending := s.execute(r.Header.Get(KeyHeader))
	if ending == elmbody.Aborted {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.delay)
	if ending == elmbody.Unavailable {
		http.Error(w, "failed after the order was filed", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	b := elmbody.New(w)
	if ending != "" {
		b = elmbody.NewUnframed(w)
	}
	fmt.Fprint(b, "{\"filed\":")
	if ending == elmbody.Reset {
		b.Abort()
		return
	}
	fmt.Fprintf(b, "%d}\n", number)
	b.Close()
}

// handleEndless answers with the response without end that the path names.
func handleEndless(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // The service ignores the body.
	if !elmbody.WriteEndless(w, r.PathValue("name")) {
		http.NotFound(w, r)
	}
}

// execute counts an execution. It returns the number of the order, and how the
// response ends, or "".
func (s *Service) execute(key string) (number int, ending elmbody.Ending) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.executions[key]++
	ending = s.ending
	s.ending = ""
	return len(s.executions), ending
}
