package elmrankagent

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/model/elmrank"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

// maxOrderBytes bounds an order. The largest order has the map of the largest group.
const maxOrderBytes = 2 << 20

// maxPrepareBytes bounds a message that names a map, maxMapSide the number of ranks, sets and
// experts of an initial map, and maxMapSize the lists and experts in all sets.
const maxPrepareBytes, maxMapSide, maxMapSize = 1 << 10, 1 << 12, 1 << 18

// maxMapCalls limits the orders with maps of each kind that are served at a time: a map takes
// several times its size in memory. Orders of up to maxPlainOrderBytes have none, and the whole
// group may wait for one, so that only maxOrderCalls limits them.
const maxMapCalls, maxPlainOrderBytes, maxOrderCalls = 2, 2 << 10, 64

// minCompressedBytes is the size above which answers are compressed, because agents
// have slow links and a planner polls all of them.
const minCompressedBytes = 1 << 10

// handler serves reports, counts and orders by forwarding them to the rank. The rank
// answers a caller on its own instance without cost and without delay.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+platform.ReportPath, http.HandlerFunc(a.forward))
	mux.Handle("GET "+platform.ExpertsPath, http.HandlerFunc(a.forward))
	mux.Handle("POST "+platform.OrderPath, limitCalls(maxOrderCalls, a.orderForwarder()))
	mux.Handle("POST "+elmgroup.PreparePath, limitCalls(maxOrderCalls, a.knownPreparer()))
	mux.Handle("GET "+elmgroup.StatePath, http.HandlerFunc(a.serveState))
	mux.Handle("GET "+elmgroup.CollectPath, limitCalls(maxPlanners, a.serveStates))
	mux.Handle("/metrics", a.meter.Handler())
	return mux
}

// slots are taken by calls that are served at a time.
type slots chan struct{}

// take waits for a slot. It returns the function that frees it, or false if the context ends.
func (s slots) take(ctx context.Context) (free func(), ok bool) {
	select {
	case s <- struct{}{}:
		return func() { <-s }, true
	case <-ctx.Done():
		return nil, false
	}
}

// limitCalls returns a handler that serves at most n requests at a time. Others wait.
func limitCalls(n int, next http.HandlerFunc) http.Handler {
	calls := make(slots, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		free, ok := calls.take(r.Context())
		if !ok {
			return
		}
		defer free()
		next(w, r)
	})
}

// knownPreparer returns a handler that has the rank prepare a map that it has had before.
func (a *Agent) knownPreparer() http.HandlerFunc {
	maps := make(slots, maxMapCalls)
	return func(w http.ResponseWriter, r *http.Request) {
		document, err := elmbounded.ReadAll(r.Body, maxPrepareBytes)
		var p elmpeer.Prepare
		if err == nil {
			err = proto.Unmarshal(document, &p)
		}
		if err != nil {
			http.Error(w, "order can't be read", http.StatusBadRequest)
			return
		}
		free, ok := maps.take(r.Context())
		if !ok {
			return
		}
		defer free()
		a.prepareKnown(w, r, &p)
	}
}

// prepareKnown has the rank prepare a map that it has had before.
func (a *Agent) prepareKnown(w http.ResponseWriter, r *http.Request, p *elmpeer.Prepare) {
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
	a.answer(w, r, a.ranks, nil)
}

// orderForwarder returns a handler that forwards orders to the rank.
func (a *Agent) orderForwarder() http.HandlerFunc {
	maps := make(slots, maxMapCalls)
	return func(w http.ResponseWriter, r *http.Request) {
		order, free, err := readOrder(w, r, maps)
		defer free()
		switch {
		case errors.Is(err, elmbounded.ErrTooLong):
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		case err != nil:
			http.Error(w, "order can't be read", http.StatusBadRequest)
		default:
			a.answer(w, r, a.orders, order)
		}
	}
}

// readOrder reads an order, whose transfer may take longer than orderTimeout. A long one takes a
// slot, which free returns.
func readOrder(w http.ResponseWriter, r *http.Request, maps slots) (order []byte, free func(), err error) {
	free = func() {}
	var body io.Reader = http.MaxBytesReader(w, r.Body, maxOrderBytes+1)
	if r.Header.Get("Content-Encoding") == "gzip" {
		if body, err = gzip.NewReader(body); err != nil {
			return nil, free, err
		}
	}
	order, err = io.ReadAll(io.LimitReader(body, maxPlainOrderBytes))
	if err != nil || len(order) < maxPlainOrderBytes {
		return order, free, err
	}
	taken, ok := maps.take(r.Context())
	if !ok {
		return nil, free, r.Context().Err()
	}
	rest, err := elmbounded.ReadAll(body, maxOrderBytes-maxPlainOrderBytes)
	return append(order, rest...), taken, err
}

// answer forwards a request, or an order, to the rank and returns the rank's answer.
func (a *Agent) answer(w http.ResponseWriter, r *http.Request, rank *platform.RankClient, order []byte) {
	status, document, err := rank.Forward(r.Context(), r.Method, a.settings.EndpointAddress, r.URL.RequestURI(), bytes.NewReader(order))
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
