package elmrankagent

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

// maxOrderBytes bounds an order. The largest order has the map of the largest group.
const maxOrderBytes = 2 << 20

// maxPrepareBytes bounds a message that names a map, maxMapSide the number of ranks, sets and
// experts of an initial map, and maxMapSize the lists and experts in all sets.
const maxPrepareBytes, maxMapSide, maxMapSize = 1 << 10, 1 << 12, 1 << 18

// maxMapCalls limits the orders of each kind that are served at a time. An order may have a
// map, which takes several times its size in memory.
const maxMapCalls = 2

// minCompressedBytes is the size above which answers are compressed, because agents
// have slow links and a planner polls all of them.
const minCompressedBytes = 1 << 10

// handler serves reports, counts and orders by forwarding them to the rank. The rank
// answers a caller on its own instance without cost and without delay.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+platform.ReportPath, http.HandlerFunc(a.forward))
	mux.Handle("GET "+platform.ExpertsPath, http.HandlerFunc(a.forward))
	mux.Handle("POST "+platform.OrderPath, limitCalls(maxMapCalls, a.forward))
	mux.Handle("POST "+elmgroup.PreparePath, limitCalls(maxMapCalls, a.prepareKnown))
	mux.Handle("GET "+elmgroup.StatePath, http.HandlerFunc(a.serveState))
	mux.Handle("GET "+elmgroup.CollectPath, limitCalls(maxPlanners, a.serveStates))
	mux.Handle("/metrics", a.meter.Handler())
	return mux
}

// limitCalls returns a handler that serves at most n requests at a time. Others wait.
func limitCalls(n int, next http.HandlerFunc) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-slots }()
		next(w, r)
	})
}

// prepareKnown has the rank prepare a map that it has had before.
func (a *Agent) prepareKnown(w http.ResponseWriter, r *http.Request) {
	document, err := elmbounded.ReadAll(r.Body, maxPrepareBytes)
	var p elmpeer.Prepare
	if err == nil {
		err = proto.Unmarshal(document, &p)
	}
	if err != nil {
		http.Error(w, "order can't be read", http.StatusBadRequest)
		return
	}
	layout, ok := a.maps.Find(p.GetEpoch(), p.GetSource())
	if p.GetSource() == 0 && max(p.GetRanks(), p.GetSets(), p.GetExperts()) <= maxMapSide &&
		p.GetSets()*(p.GetRanks()+p.GetExperts()) <= maxMapSize {
		layout, ok = elmrank.InitialMap(int(p.GetSets()), int(p.GetExperts()), int(p.GetRanks())), p.GetRanks() > 0
	}
	if !ok {
		http.Error(w, "map is not known", http.StatusNotFound)
		return
	}
	order := elmrank.Order{Operation: elmrank.Prepare, Version: p.GetVersion(), Epoch: p.GetEpoch(), Map: layout}
	switch a.orders.SendOrder(r.Context(), a.settings.EndpointAddress, order) {
	case elmrank.Accepted:
		a.maps.Add(order.Epoch, order.Version, order.Map)
		w.WriteHeader(http.StatusAccepted)
	case elmrank.Rejected:
		w.WriteHeader(http.StatusConflict)
	case elmrank.Unknown:
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

// forward forwards a request to the rank and returns the rank's answer.
func (a *Agent) forward(w http.ResponseWriter, r *http.Request) {
	var body io.Reader = http.MaxBytesReader(w, r.Body, maxOrderBytes+1)
	if r.Header.Get("Content-Encoding") == "gzip" {
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			http.Error(w, "body can't be decompressed", http.StatusBadRequest)
			return
		}
		body = decompressed
	}
	rank := a.ranks
	var order []byte
	if r.Method == http.MethodPost {
		var err error
		order, err = elmbounded.ReadAll(body, maxOrderBytes) // The planner's link may take longer than orderTimeout.
		if errors.Is(err, elmbounded.ErrTooLong) {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if err != nil {
			http.Error(w, "order can't be read", http.StatusBadRequest)
			return
		}
		rank, body = a.orders, bytes.NewReader(order)
	}
	status, document, err := rank.Forward(r.Context(), r.Method, a.settings.EndpointAddress, r.URL.RequestURI(), body)
	if err != nil {
		http.Error(w, "rank does not answer", http.StatusGatewayTimeout)
		return
	}
	if prepared, ok := platform.DecodePrepared(order); ok && status < http.StatusMultipleChoices {
		a.maps.Add(prepared.Epoch, prepared.Version, prepared.Map)
	}
	w.Header().Set("Content-Type", "application/json")
	if len(document) > minCompressedBytes && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		w.WriteHeader(status)
		compressor := gzip.NewWriter(w)
		_, _ = compressor.Write(document) // The caller detects a truncated answer.
		_ = compressor.Close()
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(document) // The caller detects a truncated answer.
}
