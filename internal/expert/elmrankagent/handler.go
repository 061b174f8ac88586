package elmrankagent

import (
	"bytes"
	"compress/gzip"
	"io"
	"net/http"
	"strings"

	"github.com/elmcove/elmcove/platform"
)

// orderBytes bounds an order: a map of the largest group.
const orderBytes = 4 << 20

// packedFrom is the size from which answers are compressed: agents have slow
// links, and a planner asks all of them.
const packedFrom = 1 << 10

// handler passes questions and orders on to the rank, which answers its own
// machine without cost and without delay.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+platform.ReportPath, http.HandlerFunc(a.pass))
	mux.Handle("GET "+platform.PickedPath, http.HandlerFunc(a.pass))
	mux.Handle("POST "+platform.OrderPath, http.HandlerFunc(a.pass))
	mux.Handle("/metrics", a.meter.Handler())
	return mux
}

func (a *Agent) pass(w http.ResponseWriter, r *http.Request) {
	var body io.Reader = http.MaxBytesReader(w, r.Body, orderBytes)
	if r.Header.Get("Content-Encoding") == "gzip" {
		unpacked, err := gzip.NewReader(body)
		if err != nil {
			http.Error(w, "body can't be decompressed", http.StatusBadRequest)
			return
		}
		body = io.LimitReader(unpacked, orderBytes)
	}
	rank := a.ranks
	if r.Method == http.MethodPost {
		order, err := io.ReadAll(body) // The planner's link may take longer than the rank may.
		if err != nil {
			http.Error(w, "order can't be read", http.StatusBadRequest)
			return
		}
		rank, body = a.orders, bytes.NewReader(order)
	}
	status, document, err := rank.Pass(r.Context(), r.Method, a.settings.Beside, r.URL.RequestURI(), body)
	if err != nil {
		http.Error(w, "rank does not answer", http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(document) > packedFrom && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		w.WriteHeader(status)
		packer := gzip.NewWriter(w)
		_, _ = packer.Write(document) // The asker sees a short answer.
		_ = packer.Close()
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(document) // The asker sees a short answer.
}
