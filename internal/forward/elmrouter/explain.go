package elmrouter

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmexplain"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmsignature"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/limit/elmadmission"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/platform"
)

// maxQuestionBytes limits the size of a question to explain.
const maxQuestionBytes = 128 << 10

// handleExplain answers what the router would do with a request. It sends nothing, changes no
// state and logs nothing.
func (r *Router) handleExplain(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "only POST is allowed", http.StatusMethodNotAllowed)
		return
	}
	var question elmexplain.Question
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxQuestionBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&question); err != nil {
		// The error may quote the question, which may hold a credential.
		http.Error(w, "question can't be parsed", http.StatusBadRequest)
		return
	}
	asked, err := question.Request()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !r.explaining.TryLock() {
		http.Error(w, "another question is being answered", http.StatusServiceUnavailable)
		return
	}
	defer r.explaining.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.explain(question, asked)) // The caller may have disconnected.
}

// explain returns what the router would do with a request.
func (r *Router) explain(question elmexplain.Question, asked *http.Request) elmexplain.Result {
	now, snapshot := elmclock.Now(), r.follower.Snapshot()
	catalog := snapshot.Catalog()
	limits := catalog.Limits()
	r.mutex.Lock()
	entries := r.placer.Entries()
	r.mutex.Unlock()
	result := elmexplain.Result{
		Entry: r.settings.Instance, Datacentre: r.settings.Datacentre, Version: catalog.Version(), Age: snapshot.Age(now), ConfigAge: snapshot.ConfigAge(now),
		Entries: entries, LearnedLimits: r.learns, MaxHeaderBytes: limits.HeaderBytes, MaxBodyBytes: limits.BodyBytes,
	}
	err := r.explainAdmission(&result, question, asked, snapshot)
	var refused refusalError
	if errors.As(err, &refused) {
		result.Status, result.Verdict = refused.status, "refused: "+refused.reason
		return result
	}
	signatures := r.explainSignatures(asked)
	route, _ := catalog.Match(asked.Host, asked.URL.EscapedPath())
	class, workspace := elmadmission.Class{Priority: result.Priority, RoutePriority: route.Priority}, ""
	if result.Workspace != nil {
		workspace = result.Workspace.Name
	}
	placed := false
	for _, target := range route.Targets {
		service, ok := catalog.Service(target.Service)
		if !ok {
			result.Services = append(result.Services, elmexplain.Service{Name: target.Service, Weight: target.Weight, Verdict: reasonNoService})
			continue
		}
		explained := r.explainService(service, class, workspace, signatures, snapshot, now)
		explained.Weight = target.Weight
		placed = placed || explained.Chosen != ""
		result.Services = append(result.Services, explained)
	}
	result.Verdict = "would be sent"
	if !placed {
		result.Status, result.Verdict = http.StatusServiceUnavailable, "refused: no endpoint accepts the request"
	}
	return result
}

// explainAdmission applies the checks of admit that need no body, and describes the route and
// the workspace.
func (r *Router) explainAdmission(result *elmexplain.Result, question elmexplain.Question, asked *http.Request, snapshot elmsnapshot.Snapshot) error {
	catalog := snapshot.Catalog()
	if !snapshot.HasConfig() {
		return refusalError{http.StatusServiceUnavailable, reasonUnknownConfig}
	}
	route, ok := catalog.Match(asked.Host, asked.URL.EscapedPath())
	if !ok {
		return retryableIfStale(result.ConfigAge, refusalError{http.StatusNotFound, reasonRoute})
	}
	result.Route = &elmexplain.Route{
		Name: route.Name, Prefix: route.Prefix, Kind: [...]string{"non-idempotent", "idempotent", "stream"}[route.Kind], Priority: route.Priority,
		Timeout: route.Timeout, Objective: route.LatencyObjective, Attempts: route.Attempts, Public: route.Public, Resumable: route.Resumable,
	}
	info := platform.ReadRequestInfo(asked.Header)
	result.Priority, result.TimeLimit = route.Priority, effectiveTimeout(route.Timeout, info.Deadline)
	if catalog.RequiresCredential(route) {
		if result.ConfigAge > time.Duration(float64(r.settings.Bounds.RevokeDelay)*credentialAgeRatio) {
			return refusalError{http.StatusServiceUnavailable, reasonStale}
		}
		workspace, known := workspaceOf(catalog, question, info)
		if !known {
			return retryableIfStale(result.ConfigAge, refusalError{http.StatusUnauthorized, reasonCredential})
		}
		result.Workspace = &elmexplain.Workspace{Name: workspace.Name, Priority: workspace.Priority}
		if workspace.Priority != nil {
			result.Priority = *workspace.Priority
		}
	}
	if result.MaxHeaderBytes > 0 && max(lineSize(asked), headerSize(asked)) > result.MaxHeaderBytes {
		return refusalError{http.StatusRequestHeaderFieldsTooLarge, reasonHeaders}
	}
	return nil
}

// workspaceOf returns the workspace that a question names or gives the credential of.
func workspaceOf(catalog elmcatalog.Catalog, question elmexplain.Question, info platform.RequestInfo) (elmcatalog.Workspace, bool) {
	switch {
	case question.Workspace != "":
		return catalog.NamedWorkspace(question.Workspace)
	case question.Credential != "":
		return catalog.Workspace(question.Credential)
	}
	return catalog.Workspace(info.Credential)
}

// explainSignatures returns the signatures of the prompt's segments. Without a body there is no
// signature of the request as a whole.
func (r *Router) explainSignatures(asked *http.Request) []elmsignature.Signature {
	var signatures []elmsignature.Signature
	for _, s := range platform.ReadRequestInfo(asked.Header).Segments {
		signatures = append(signatures, elmsignature.OfSegment(s))
	}
	return signatures
}

// explainService describes the placement of a first attempt at a service.
func (r *Router) explainService(service elmcatalog.Service, class elmadmission.Class, workspace string, signatures []elmsignature.Signature, snapshot elmsnapshot.Snapshot, now time.Duration) elmexplain.Service {
	query := elmplace.Query{Service: service, Signatures: signatures}
	members, all := snapshot.Members(service.Name, now), snapshot.AllMembers(service.Name)
	explained := elmexplain.Service{Name: service.Name, Engine: service.Engine != nil, Candidates: []elmexplain.Candidate{}}
	candidates, members, verdict := r.candidates(&explained, query, members, snapshot, now)
	if verdict == elmplace.Placed {
		r.explainRank(&explained, service, class, workspace, members, snapshot, now)
	}
	best := -1
	for i, c := range candidates {
		explained.Candidates = append(explained.Candidates, elmexplain.Candidate{
			Endpoint: c.Member.ID, Datacentre: c.Member.Datacentre, Slots: c.Member.Slots, Load: c.Load, Limit: c.Limit, Pace: c.Pace, Cost: c.Cost, Reason: c.Reason,
		})
		if c.Reason == "" && (best < 0 || c.Cost < candidates[best].Cost) {
			best = i
		}
	}
	if verdict == elmplace.Placed && best >= 0 && explained.Cut == "" {
		explained.Chosen = candidates[best].Member.ID
	}
	for _, m := range all {
		if !slices.ContainsFunc(members, func(other elmsnapshot.Member) bool { return other.ID == m.ID }) {
			reason := "missing in the store"
			switch {
			case snapshot.Withdrawn(m.Datacentre):
				reason = "data centre is withdrawn"
			case m.Leaving:
				reason = "is draining"
			}
			explained.Candidates = append(explained.Candidates, elmexplain.Candidate{Endpoint: m.ID, Datacentre: m.Datacentre, Slots: m.Slots, Reason: reason})
		}
	}
	return explained
}

// candidates returns the candidates of a service, the members that they were chosen among, and the
// verdict of the placement.
func (r *Router) candidates(explained *elmexplain.Service, query elmplace.Query, members []elmsnapshot.Member, snapshot elmsnapshot.Snapshot, now time.Duration) ([]elmplace.Candidate, []elmsnapshot.Member, elmplace.Verdict) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates, verdict := r.placer.Candidates(query, members, now)
	switch verdict {
	case elmplace.NoEndpoint, elmplace.Paused, elmplace.Leaving:
		members = snapshot.LastResort(query.Service.Name, now)
		candidates, verdict = r.placer.Candidates(query, members, now)
	}
	explained.CanRetry, explained.Verdict = r.placer.CanRetryNow(query.Service.Name, now), verdict.String()
	return candidates, members, verdict
}

// explainRank describes the admission of a first attempt for which an endpoint has a free slot.
func (r *Router) explainRank(explained *elmexplain.Service, service elmcatalog.Service, class elmadmission.Class, workspace string, members []elmsnapshot.Member, snapshot elmsnapshot.Snapshot, now time.Duration) {
	s := r.admissions.service(service.Name, snapshot.Catalog())
	if !s.isRanked() {
		return
	}
	explained.Ranked, explained.Share = true, r.share(service.Name, workspace)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	capacity := s.capacityOf(r.placer, service, members, now)
	overtakes := s.isOvertaken(class, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	explained.Level = s.controller.Level(now)
	if cut := s.controller.Preview(elmadmission.Request{Class: class, Overtakes: overtakes}, capacity, explained.Share, now); cut != elmadmission.Admit {
		explained.Cut = cut.String()
	}
}
