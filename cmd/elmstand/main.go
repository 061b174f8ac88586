// Command elmstand runs a stand-in for one of the systems around elmcove: the platform,
// a model engine, or a plain service. It is meant for demonstrations and tests.
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
	step := flag.Duration("step", 10*time.Millisecond, "duration of an engine step, or of a service call")
	warm := flag.Int("warm", 32, "concurrent requests that a warm engine handles")
	cold := flag.Int("cold", 2, "concurrent requests that a cold engine handles")
	flag.Parse()
	handler, err := handler(*kind, elmengine.Settings{StepTime: *step, WarmCapacity: *warm, ColdCapacity: *cold})
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
		return elmservice.New(settings.StepTime).Handler(), nil
	}
	return nil, fmt.Errorf("-kind is platform, engine, or service, not %q", kind)
}
