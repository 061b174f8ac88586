package elmmeter

import "fmt"

const (
	// AdmissionLevel is the admitted part of the requests of a ranked service.
	AdmissionLevel Name = "elmcove_admission_level"
	// AdmissionRefusals counts the requests that were refused for more urgent ones, by service,
	// class and reason.
	AdmissionRefusals Name = "elmcove_admission_refusals_total"
	// QueueLength is the number of requests that wait for a slot, by service.
	QueueLength Name = "elmcove_queue_length"
	// QueueTime is a histogram of the time for which requests have waited, in seconds.
	QueueTime Name = "elmcove_queue_seconds"
)

// Add adds n to a counter with a label.
func (m *Meter) Add(name Name, label, value string, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value)).Add(n)
}

// CountRefusal adds one to AdmissionRefusals.
func (m *Meter) CountRefusal(service, class, reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,class=%q,reason=%q}", AdmissionRefusals, service, class, reason)).Inc()
}
