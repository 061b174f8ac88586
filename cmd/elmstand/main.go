// Command elmstand runs the stand-ins for what surrounds elmcove: the platform,
// a model engine, and a plain service. It is meant for demonstrations and tests.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/elmcove/elmcove/internal/stand/elmengine"
	"github.com/elmcove/elmcove/internal/stand/elmplatform"
	"github.com/elmcove/elmcove/internal/stand/elmservice"
)

func main() {
	kind := flag.String("kind", "platform", "platform, engine, or service")
	address := flag.String("http", "127.0.0.1:9000", "address to listen on")
	step := flag.Duration("step", 10*time.Millisecond, "time of a step of the engine, or of a call of the service")
	warm := flag.Int("warm", 32, "requests that a warm engine bears")
	cold := flag.Int("cold", 2, "requests that a cold engine bears")
	flag.Parse()
	handler, err := handler(*kind, elmengine.Settings{Step: *step, Warm: *warm, Cold: *cold})
	if err == nil {
		server := &http.Server{Addr: *address, Handler: handler, ReadHeaderTimeout: time.Second}
		err = server.ListenAndServe()
	}
	fmt.Fprintln(os.Stderr, "elmstand:", err)
	os.Exit(1)
}

func handler(kind string, settings elmengine.Settings) (http.Handler, error) {
	switch kind {
	case "platform":
		return elmplatform.New().Handler(), nil
	case "engine":
		return elmengine.New(settings).Handler(), nil
	case "service":
		return elmservice.New(settings.Step).Handler(), nil
	}
	return nil, fmt.Errorf("-kind is platform, engine, or service, not %q", kind)
}
