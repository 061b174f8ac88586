// Package elmmeter keeps a process's metrics and serves them in the Prometheus
// text format.
//
// # Usage
//
//	meter := elmmeter.New()
//	meter.Count(elmmeter.Requests, "outcome", "whole")
//	mux.Handle("/metrics", meter.Handler())
package elmmeter

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Name is the name of a metric.
type Name string

const (
	// Requests counts callers' requests by outcome.
	Requests Name = "elmcove_requests_total"
	// Responses counts the forwarded responses of endpoints by how they mark the end
	// of their body.
	Responses Name = "elmcove_responses_total"
	// Retries counts requests that were sent to another endpoint.
	Retries Name = "elmcove_retries_total"
	// FirstByte is a histogram of the time to the first byte of a response, in
	// seconds.
	FirstByte Name = "elmcove_first_byte_seconds"
	// MapPlans counts the expert maps that were rolled out by why they were planned.
	MapPlans Name = "elmcove_map_plans_total"
	// EndpointLimit is the learned limit of an endpoint, in requests of all entries.
	EndpointLimit Name = "elmcove_endpoint_limit"
	// EndpointPace is the response time of an endpoint relative to the fastest one.
	EndpointPace Name = "elmcove_endpoint_pace"
)

// Meter is a set of metrics. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns an empty Meter.
func New() *Meter {
	return &Meter{set: metrics.NewSet()}
}

// Count adds one to a counter with a label.
func (m *Meter) Count(name Name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value)).Inc()
}

// Set sets a gauge with a label.
func (m *Meter) Set(name Name, label, value string, number float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf("%s{%s=%q}", name, label, value), nil).Set(number)
}

// Remove removes a gauge with a label.
func (m *Meter) Remove(name Name, label, value string) {
	m.set.UnregisterMetric(fmt.Sprintf("%s{%s=%q}", name, label, value))
}

// Gauge adds a gauge with a label, whose value is read when the metrics are.
func (m *Meter) Gauge(name Name, label, value string, read func() float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf("%s{%s=%q}", name, label, value), read)
}

// Observe adds a duration to a histogram, in seconds.
func (m *Meter) Observe(name Name, elapsed time.Duration) {
	m.set.GetOrCreateHistogram(string(name)).Update(elapsed.Seconds())
}

// Handler serves the metrics, with those of the Go runtime and the process.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
