// Package elmcause collects from the logs of the platform's processes what
// happened to one request: its own log lines, and the last changes of the platform
// state that its entry logged before the first of them.
//
// # Usage
//
//	history, err := elmcause.Read(os.Stdin, "9c41d07be2a35f68")
//	fmt.Print(history)
package elmcause

import (
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/elmcove/elmcove/internal/observe/elmline"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// ErrUnknown reports that no log line names the request.
var ErrUnknown = errors.New("no log line names the request")

// contextEvents lists the events that change an entry's snapshot of the platform
// state or its readiness.
var contextEvents = []elmlog.Event{
	elmlog.ConfigAdopted, elmlog.StoreDown, elmlog.StoreRecovered, elmlog.PeerUsed, elmlog.StateSourceChanged, elmlog.ReadinessChanged,
	elmlog.EndpointListed, elmlog.EndpointLeaving, elmlog.EndpointRemoved, elmlog.EndpointKept, elmlog.DatacentreWithdrawn,
	elmlog.DatacentreReturned, elmlog.EndpointCrashed, elmlog.LeavingAnnounced, elmlog.PauseAnnounced, elmlog.PauseEnded, elmlog.GroupBroken, elmlog.GroupOpen, elmlog.Stopping, elmlog.Started,
}

// maxContextLines is the number of lines of context events that are shown.
const maxContextLines = 6

// History holds the log lines that concern a request.
type History struct {
	// Before are the last context events of the request's entry before the
	// first line in Own.
	Before []elmline.Line
	// Own are the lines that name the request.
	Own []elmline.Line
}

// Read reads a log. It skips lines without JSON, and any text before the JSON
// of a line.
func Read(log io.Reader, request string) (History, error) {
	recent := map[string][]elmline.Line{}
	var history History
	for line, err := range elmline.All(log) {
		if err != nil {
			return history, err
		}
		if line.Fields["request"] == request {
			if len(history.Own) == 0 {
				history.Before = slices.Clone(recent[line.Instance])
			}
			history.Own = append(history.Own, line)
			continue
		}
		if slices.Contains(contextEvents, line.Event) {
			recent[line.Instance] = append(recent[line.Instance], line)
			if lines := recent[line.Instance]; len(lines) > maxContextLines {
				recent[line.Instance] = lines[1:]
			}
		}
	}
	if len(history.Own) == 0 {
		return history, ErrUnknown
	}
	return history, nil
}

// String formats the lines for an operator.
func (h History) String() string {
	var b strings.Builder
	b.WriteString("the entry's last state changes before the request:\n")
	for _, l := range h.Before {
		b.WriteString("  " + l.String() + "\n")
	}
	b.WriteString("the request:\n")
	for _, l := range h.Own {
		b.WriteString("  " + l.String() + "\n")
	}
	return b.String()
}
