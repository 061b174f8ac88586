package elmcommand

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmexplain"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmtransport"
)

const (
	// routeTimeout bounds the question to a router. It answers without waiting for others.
	routeTimeout = 5 * time.Second
	// maxCredentialBytes limits a credential on the standard input.
	maxCredentialBytes = 16 << 10
)

// routeCommand returns a command that asks a router what it would do with a request.
func routeCommand() *command {
	question := elmexplain.Question{Header: http.Header{}}
	var router, output string
	return &command{
		name:     "route",
		synopsis: "Shows what a router on the users' platform would do with a request, without sending it.",
		usage:    "route -router ADDRESS [-method METHOD] -host HOST -path PATH [-credential -|CREDENTIAL | -workspace NAME] [-header NAME:VALUE ...] [-o text|json]",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&router, "router", "", "address of the router's control, internal or metrics port")
			f.StringVar(&question.Method, "method", http.MethodGet, "method of the request")
			f.StringVar(&question.Host, "host", "", "host of the request")
			f.StringVar(&question.Path, "path", "/", "path of the request")
			f.StringVar(&question.Credential, "credential", "", "credential of the request, or - to read it from the standard input, so that no other process sees it")
			f.StringVar(&question.Workspace, "workspace", "", "workspace of the request, in place of a credential")
			f.Func("header", "header of the request as NAME:VALUE, may be repeated", func(text string) error {
				name, value, found := strings.Cut(text, ":")
				if !found || name == "" {
					return fmt.Errorf("%w: header must be NAME:VALUE", errFailed)
				}
				question.Header.Add(name, strings.TrimSpace(value))
				return nil
			})
			f.StringVar(&output, "o", "text", "output: text or json")
		},
		run: func(ctx context.Context, _ []string) error {
			if question.Credential == "-" {
				text, err := elmbounded.ReadAll(os.Stdin, maxCredentialBytes)
				if err != nil {
					return fmt.Errorf("%w: read credential: %w", errFailed, err)
				}
				question.Credential = strings.TrimSpace(string(text))
			}
			return printRoute(ctx, router, output, question, os.Stdout)
		},
	}
}

// printRoute asks a router and prints its answer. It fails if the router would refuse the
// request.
func printRoute(ctx context.Context, router, output string, question elmexplain.Question, w io.Writer) error {
	if output != "text" && output != "json" {
		return fmt.Errorf("%w: -o must be text or json, got %q", errFailed, output)
	}
	if router == "" {
		return fmt.Errorf("%w: -router is required", errFailed)
	}
	if _, err := question.Request(); err != nil {
		return err
	}
	result, err := askRouter(ctx, router, question)
	if err != nil {
		return err
	}
	if output == "json" {
		err = json.NewEncoder(w).Encode(result)
	} else {
		_, err = io.WriteString(w, result.Text())
	}
	if err == nil && result.Status != 0 {
		err = fmt.Errorf("%w: the router would answer %d, %s", errFailed, result.Status, result.Verdict)
	}
	return err
}

// askRouter asks a router at an address what it would do with a request.
func askRouter(ctx context.Context, router string, question elmexplain.Question) (elmexplain.Result, error) {
	var result elmexplain.Result
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	document, err := json.Marshal(question)
	if err != nil {
		return result, fmt.Errorf("%w: %w", errFailed, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+elmexplain.Path, bytes.NewReader(document))
	if err != nil {
		return result, fmt.Errorf("%w: %w", errFailed, err)
	}
	// No proxy and no other server gets the credential.
	client := &http.Client{
		Transport:     elmtransport.New(&http.Transport{DisableKeepAlives: true}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return result, fmt.Errorf("%w: no router answers at %s: %w", errFailed, router, err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	body, err := elmbounded.ReadAll(response.Body, elmexplain.MaxBytes)
	if err != nil {
		return result, fmt.Errorf("%w: %w", errFailed, err)
	}
	if response.StatusCode != http.StatusOK {
		return result, fmt.Errorf("%w: %s answers %s: %s", errFailed, router, response.Status, bytes.TrimSpace(body[:min(len(body), 200)]))
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return result, fmt.Errorf("%w: %s is no router: %w", errFailed, router, err)
	}
	return result, nil
}
