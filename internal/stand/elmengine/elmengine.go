// Package elmengine is a small stand-in for a model engine. It streams one token
// per decoding step as server-sent events. A cold engine is slower and handles
// fewer concurrent requests than a warm one. A request beyond the capacity is
// refused and turns the engine cold.
//
// # Usage
//
//	engine := elmengine.New(elmengine.Settings{StepTime: 20 * time.Millisecond, WarmCapacity: 32, ColdCapacity: 2})
//	server := httptest.NewServer(engine.Handler())
package elmengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmbody"
)

const (
	// warmSteps is the number of steps after which a cold engine is warm.
	warmSteps = 50
	// loadSlowdown is the additional step time at full load, as a share of the
	// idle step time.
	loadSlowdown = 0.5
	// coldFactor multiplies the step time of a cold engine.
	coldFactor = 3
	// reportInterval is the minimum time between two load measurements.
	reportInterval = 300 * time.Millisecond
	// breakAfter is the number of tokens before a response breaks off.
	breakAfter = 3
)

// Settings describes an engine.
type Settings struct {
	// StepTime is the duration of one decoding step of an idle warm engine.
	StepTime time.Duration
	// WarmCapacity is the number of concurrent requests that a warm engine can handle.
	WarmCapacity int
	// ColdCapacity is the number of concurrent requests that a cold engine can handle.
	ColdCapacity int
}

// Counts holds the number of requests by outcome, and of generated tokens.
type Counts struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	// Overrun counts the requests beyond the capacity.
	Overrun int `json:"overrun"`
	Tokens  int `json:"tokens"`
	// Peak is the maximum number of concurrent requests.
	Peak int `json:"peak"`
}

type completionRequest struct {
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

// Engine is the stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	settings Settings
	mutex    sync.Mutex
	counts   Counts
	running  int
	steps    int
	// ending is how the next response ends, or "".
	ending elmbody.Ending
	report Load
	next   Load
}

// Load is a load report. It is at least one reportInterval old when published.
type Load struct {
	Running  int       `json:"running"`
	Capacity int       `json:"capacity"`
	Measured time.Time `json:"measured"`
}

// New returns a cold engine.
func New(settings Settings) *Engine {
	return &Engine{settings: settings}
}

// Handler returns a handler for the API of the engine and the control API of the
// stand-in below /control/.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("POST /control/cold", func(http.ResponseWriter, *http.Request) { e.ResetToCold() })
	mux.HandleFunc("POST /control/break", func(_ http.ResponseWriter, r *http.Request) {
		e.BreakNext(elmbody.Ending(r.URL.Query().Get("ending")))
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Counts()) // The caller may have disconnected.
	})
	return mux
}

// ResetToCold resets the engine to cold.
func (e *Engine) ResetToCold() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.steps = 0
}

// BreakNext sets how the next response ends. All endings but Closed come after a few
// tokens.
func (e *Engine) BreakNext(ending elmbody.Ending) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ending = ending
}

// Counts returns the counts so far.
func (e *Engine) Counts() Counts {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.counts
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	report := e.Load(time.Now())
	if report.Measured.IsZero() {
		http.Error(w, "no load report yet", http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(report) // The caller may have disconnected.
}

// Load returns the report that is published at the given time, and takes a new
// measurement if one is due. Its Measured time is zero before the first report.
func (e *Engine) Load(now time.Time) Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now.Sub(e.next.Measured) >= reportInterval {
		e.report = e.next
		e.next = Load{Running: e.running, Capacity: e.capacity(), Measured: now}
	}
	return e.report
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.admit() {
		http.Error(w, "engine is overloaded", http.StatusServiceUnavailable)
		return
	}
	defer e.release()
	w.Header().Set("Content-Type", "text/event-stream")
	ending := e.nextEnding()
	b := newBody(w, ending)
	for i := range request.MaxTokens {
		if !e.step(r) {
			return
		}
		if i == breakAfter && ending != "" && ending != elmbody.Closed {
			breakOff(b, ending)
			return
		}
		fmt.Fprintf(b, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w%d \"}}]}\n\n", i)
		b.Flush()
	}
	fmt.Fprint(b, "data: [DONE]\n\n")
	b.Close()
	e.count(func(c *Counts) { c.Finished++ })
}

func newBody(w http.ResponseWriter, ending elmbody.Ending) *elmbody.Body {
	if ending == "" || ending == elmbody.Aborted {
		return elmbody.New(w)
	}
	return elmbody.NewUnframed(w)
}

// breakOff ends a stream before it is complete.
func breakOff(b *elmbody.Body, ending elmbody.Ending) {
	switch ending {
	case elmbody.ClosedInsideEvent:
		fmt.Fprint(b, "data: {\"cho")
		b.Close()
	case elmbody.ClosedBetweenEvents:
		b.Close()
	default:
		b.Abort()
	}
}

// step waits for one decoding step and counts its token. It returns false if the
// caller cancels the request.
func (e *Engine) step(r *http.Request) bool {
	select {
	case <-r.Context().Done():
		e.count(func(c *Counts) { c.Cancelled++ })
		return false
	case <-time.After(e.stepTime()):
	}
	e.count(func(c *Counts) { c.Tokens++ })
	return true
}

// admit takes a slot for a request. Without a free slot the engine turns cold.
func (e *Engine) admit() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.running >= e.capacity() {
		e.counts.Overrun++
		e.steps = 0
		return false
	}
	e.running++
	e.counts.Started++
	e.counts.Peak = max(e.counts.Peak, e.running)
	return true
}

func (e *Engine) release() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.running--
}

// capacity returns the number of concurrent requests that the engine can handle.
func (e *Engine) capacity() int {
	if e.steps < warmSteps {
		return e.settings.ColdCapacity
	}
	return e.settings.WarmCapacity
}

func (e *Engine) stepTime() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.steps++
	load := float64(e.running) / float64(e.capacity())
	step := time.Duration(float64(e.settings.StepTime) * (1 + loadSlowdown*load))
	if e.steps <= warmSteps {
		step *= coldFactor
	}
	return step
}

// nextEnding removes and returns how the next response ends, or "".
func (e *Engine) nextEnding() elmbody.Ending {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	next := e.ending
	e.ending = ""
	return next
}

func (e *Engine) count(change func(*Counts)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(&e.counts)
}
