package elmentry

import (
	"encoding/json"
	"net/http"

	"github.com/elmcove/elmcove/internal/entry/elmfleet"
)

// Status is an entry's state as it is shown to operators.
type Status struct {
	Instance   string            `json:"instance"`
	Datacentre string            `json:"datacentre"`
	Revision   uint64            `json:"revision"`
	Draining   bool              `json:"draining"`
	Agents     []elmfleet.Status `json:"agents"`
}

func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || e.holder.Revision() == 0 {
		http.Error(w, "not taking new requests", http.StatusServiceUnavailable)
	}
}

func (e *Entry) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Status{
		Instance:   e.settings.Instance,
		Datacentre: e.settings.Datacentre,
		Revision:   e.holder.Revision(),
		Draining:   e.draining.Load(),
		Agents:     e.fleet.Status(),
	})
}

func (e *Entry) handleExplain(w http.ResponseWriter, r *http.Request) {
	lines := e.ledger.Explain(r.PathValue("id"))
	if lines == nil {
		http.Error(w, "request is not remembered here", http.StatusNotFound)
		return
	}
	writeJSON(w, lines)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // Fails if the caller has disconnected.
}
