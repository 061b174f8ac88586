package elmentry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/elmcove/elmcove/internal/config/elmconfig"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmapi"
)

const (
	completionPath       = "/v1/chat/completions"
	bearerPrefix         = "Bearer "
	idempotencyKeyHeader = "Idempotency-Key"
	// retryAfter is the time after which a caller should retry a refused request.
	retryAfter = time.Second
	// prefixBytes is the length of the prompt prefix by which agents with a
	// cached prefix are found.
	prefixBytes = 256
)

type contextKey struct{}

// caller is the authenticated sender of a request.
type caller struct {
	workspace string
	config    elmconfig.Config
}

func (e *Entry) handler() (http.Handler, error) {
	api, err := elmapi.NewServer(e, e, e, elmapi.WithErrorHandler(e.handleError))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEntry, err)
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+completionPath, e.authenticate(api))
	mux.Handle("/services/{service}/{path...}", e.authenticate(http.HandlerFunc(e.handleService)))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", e.handleReady)
	mux.Handle("GET /metrics", e.meter.Handler())
	mux.HandleFunc("GET /elmcove/status", e.handleStatus)
	mux.HandleFunc("GET /elmcove/explain/{id}", e.handleExplain)
	return mux, nil
}

// authenticate determines the workspace of a request and enforces the
// workspace's limits on body size and open requests.
func (e *Entry) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		config := e.holder.Config()
		credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		workspace, known := config.Authenticate(credential)
		if !ok || !known {
			e.logger.Event(elmlog.CredentialRejected, "remote", r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			e.refuse(w, beforeClaim(r, problem{status: http.StatusUnauthorized, title: "credential missing or unknown"}))
			return
		}
		if !e.admit(workspace, config.MaxConcurrency(workspace)) {
			e.logger.Event(elmlog.ConcurrencyExceeded, "workspace", workspace)
			e.refuse(w, beforeClaim(r, problem{status: http.StatusTooManyRequests, title: "workspace has too many open requests", retry: retryAfter}))
			return
		}
		defer e.release(workspace)
		body := e.bodies.Body(r.Body)
		defer body.Release()
		r.Body = http.MaxBytesReader(w, body, config.MaxBodyBytes(workspace))
		ctx := context.WithValue(r.Context(), contextKey{}, caller{workspace: workspace, config: config})
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// HandleBearer implements elmapi.SecurityHandler. The credential is checked by
// authenticate.
func (e *Entry) HandleBearer(ctx context.Context, _ elmapi.OperationName, _ elmapi.Bearer) (context.Context, error) {
	return ctx, nil
}

// NewError implements elmapi.Handler.
func (e *Entry) NewError(_ context.Context, err error) *elmapi.ProblemStatusCode {
	p := problem{status: http.StatusInternalServerError, title: "request failed", detail: err.Error()}
	return &elmapi.ProblemStatusCode{StatusCode: p.status, Response: p.response()}
}

// handleError answers requests that do not match the schema or can't be read.
func (e *Entry) handleError(_ context.Context, w http.ResponseWriter, r *http.Request, err error) {
	p, ok := bodyProblem(err)
	if ok {
		w.Header().Set("Connection", "close") // Otherwise net/http reads the rest of the body first.
	} else {
		p = problem{status: ogenerrors.ErrorCode(err), title: "request is not valid", detail: err.Error()}
	}
	e.refuse(w, beforeClaim(r, p))
}

// CreateCompletion implements elmapi.RawHandler.
func (e *Entry) CreateCompletion(ctx context.Context, req *elmapi.Completion, params elmapi.CreateCompletionParams, w http.ResponseWriter) error {
	sender, _ := ctx.Value(contextKey{}).(caller)
	if !sender.config.IsModel(req.Model) {
		detail := fmt.Sprintf("model %q is not configured", req.Model)
		e.refuse(w, problem{status: http.StatusNotFound, title: "unknown model", detail: detail, outcome: outcomeBeforeClaim(params.IdempotencyKey.Set)})
		return nil
	}
	body, err := req.MarshalJSON()
	if err != nil {
		return fmt.Errorf("%w: encode completion: %w", ErrEntry, err)
	}
	e.serve(ctx, w, sender, call{
		service:    req.Model,
		method:     http.MethodPost,
		path:       completionPath,
		mediaType:  "application/json",
		body:       body,
		prefix:     promptPrefix(req),
		key:        params.IdempotencyKey.Or(""),
		idempotent: params.ElmcoveRepeatable.Or(true),
	})
	return nil
}

// handleService forwards a request to a plain service.
func (e *Entry) handleService(w http.ResponseWriter, r *http.Request) {
	sender, _ := r.Context().Value(contextKey{}).(caller)
	service := r.PathValue("service")
	config, known := sender.config.Services[service]
	if !known || sender.config.IsModel(service) {
		detail := fmt.Sprintf("service %q (%s) is not a plain service", service, config.Kind)
		e.refuse(w, beforeClaim(r, problem{status: http.StatusNotFound, title: "unknown service", detail: detail}))
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		e.handleError(r.Context(), w, r, err)
		return
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	e.serve(r.Context(), w, sender, call{
		service:    service,
		method:     r.Method,
		path:       path,
		mediaType:  r.Header.Get("Content-Type"),
		body:       body,
		key:        r.Header.Get(idempotencyKeyHeader),
		idempotent: sender.config.IsIdempotent(service, r.Method, path) && r.Header.Get("Elmcove-Repeatable") != "false",
	})
}

func promptPrefix(req *elmapi.Completion) string {
	var prefix strings.Builder
	for _, m := range req.Messages {
		prefix.WriteString(m.Content)
		if prefix.Len() >= prefixBytes {
			return prefix.String()[:prefixBytes]
		}
	}
	return prefix.String()
}

func bodyTooLarge(e *http.MaxBytesError) problem {
	return problem{
		status: http.StatusRequestEntityTooLarge,
		title:  "request body is too large",
		detail: fmt.Sprintf("the workspace may send %d bytes", e.Limit),
	}
}
