package elmrankagent

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/expert/elmgroup"
	"github.com/elmcove/elmcove/internal/stand/elmendless"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
	"github.com/elmcove/elmcove/platform"
)

// callLimit is the memory for each of four calls to an agent with 152 MB, of which they have
// half.
const callLimit = 152 << 20 / 2 / 4

// Guards against an agent that runs out of memory because an order takes many times its size.
func TestOrdersOfManyElements(t *testing.T) {
	rank := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusAccepted)
	}))
	defer rank.Close()
	prepare, err := proto.Marshal(&elmpeer.Prepare{Version: 9, Epoch: 2, Ranks: 1 << 12, Sets: 1 << 12, Experts: 1 << 12})
	if err != nil {
		t.Fatal(err)
	}
	order := func(first, repeated, last string) []byte {
		first = `{"operation":"prepare","version":7,"epoch":2,"map":` + first
		return []byte(first + strings.Repeat(repeated, (maxOrderBytes-len(first)-len(last))/len(repeated)) + last)
	}
	for name, c := range map[string]struct {
		path string
		body []byte
	}{
		"initial map of a short message": {elmgroup.PreparePath, prepare},
		"empty sets":                     {platform.OrderPath, order("[[]", ",[]", "]}")},
		"empty lists":                    {platform.OrderPath, order("[[[]", ",[]", "]]}")},
		"experts":                        {platform.OrderPath, order("[[[1", ",1", "]]]}")},
	} {
		t.Run(name, func(t *testing.T) {
			a := &Agent{settings: platform.Settings{EndpointAddress: strings.TrimPrefix(rank.URL, "http://")}, orders: platform.NewRankClient(5 * time.Second)}
			handler := a.handler()
			allocated := elmendless.Allocated(func() {
				handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, c.path, bytes.NewReader(c.body)))
			})
			if allocated > callLimit {
				t.Errorf("%d MB allocated, limit is %d MB", allocated>>20, callLimit>>20)
			}
		})
	}
}

// Guards against an agent that runs out of memory because other agents report long
// selections of many groups.
func TestCollectionOfManyGroups(t *testing.T) {
	var c collection
	levels := make([]byte, 250<<10)
	levels[0] = 1
	states := make([]*elmpeer.RankState, elmgroup.MaxCollected)
	for i := range states {
		report := fmt.Sprintf(`{"group":{"name":"g%d","epoch":1,"state":"open"}}`, i)
		states[i] = &elmpeer.RankState{Report: []byte(report), Selections: &elmpeer.Selections{Levels: levels, Unit: 1, Count: 1 << 30}}
	}
	allocated := elmendless.Allocated(func() {
		for i, s := range states {
			c.add(fmt.Sprint("rank-", i), s)
		}
		c.states()
	})
	if allocated > callLimit || len(c.reports) != len(states) {
		t.Errorf("%d MB allocated, limit is %d MB; %d reports", allocated>>20, callLimit>>20, len(c.reports))
	}
}

// Guards against an agent that runs out of memory because many callers send orders at a time.
func TestCallsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mutex sync.Mutex
		served, most := 0, 0
		handler := limitCalls(2, func(http.ResponseWriter, *http.Request) {
			mutex.Lock()
			served++
			most = max(most, served)
			mutex.Unlock()
			<-time.After(time.Second)
			mutex.Lock()
			served--
			mutex.Unlock()
		})
		var wait sync.WaitGroup
		for range 6 {
			wait.Go(func() {
				handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", http.NoBody))
			})
		}
		began := time.Now()
		wait.Wait()
		if most != 2 || time.Since(began) != 3*time.Second {
			t.Errorf("%d calls at a time, %v", most, time.Since(began))
		}
	})
}

// Guards against an agent that runs out of memory because callers send heads without end.
// Half of its 152 MB are for 32 callers.
func TestEndlessHeads(t *testing.T) {
	const callers, limit = 32, 152 << 20 / 2
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := new(Agent).server(http.NotFoundHandler())
	go func() { _ = server.Serve(listener) }()
	defer server.Close() //nolint:errcheck // The test is over.
	lines := bytes.Repeat([]byte("A:\r\n"), 8<<10)
	allocated := elmendless.Allocated(func() {
		var wait sync.WaitGroup
		for range callers {
			wait.Go(func() {
				conn, err := net.Dial("tcp4", listener.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close() //nolint:errcheck // Only the allocations count.
				for _, err = io.WriteString(conn, "GET / HTTP/1.1\r\n"); err == nil; {
					_, err = conn.Write(lines)
				}
			})
		}
		wait.Wait()
	})
	if allocated > limit {
		t.Errorf("%d MB allocated, limit is %d MB", allocated>>20, limit>>20)
	}
}
