package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/elmcove/elmcove/internal/stand/elmclient"
	"github.com/elmcove/elmcove/internal/stand/elmlocal"
)

const tokensPerRequest = 20

// checks runs the checks of the demonstration and counts their results.
type checks struct {
	ctx    context.Context
	site   *elmlocal.Site
	client *elmclient.Client
	passed int
	failed int
}

// report prints and counts the result of one check.
func (c *checks) report(passed bool, format string, values ...any) {
	mark := "ok  "
	if passed {
		c.passed++
	} else {
		c.failed++
		mark = "FAIL"
	}
	fmt.Printf("%s  %s\n", mark, fmt.Sprintf(format, values...))
}

func (c *checks) draft(ctx context.Context, entry string, count int) elmclient.Response {
	return c.client.StreamCompletion(ctx, c.site.EntryURL(entry), count)
}

func (c *checks) order(entry, key string) elmclient.Response {
	return c.client.Order(c.ctx, c.site.EntryURL(entry), key)
}

func (c *checks) checkStream() {
	a := c.draft(c.ctx, "entry-1", tokensPerRequest)
	c.report(a.Complete(tokensPerRequest) && a.FirstByte < time.Second, "a streamed answer came whole, first byte after %s (status %d, error %v)", a.FirstByte.Round(time.Millisecond), a.Status, a.Err)
	id := a.Header.Get("Elmcove-Request")
	text, err := c.site.Command(c.ctx, "explain", "-platform", c.site.Platform, id)
	c.report(err == nil && strings.Contains(text, "sent to"), "elmcove explain tells where it went")
}

func (c *checks) checkAbandoned() {
	ctx, cancel := context.WithTimeout(c.ctx, 150*time.Millisecond)
	defer cancel()
	_ = c.draft(ctx, "entry-2", 2000)
	cancelled := 0
	for begin := time.Now(); cancelled == 0 && time.Since(begin) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
		cancelled = c.site.EngineCounts(c.ctx, "").Cancelled
	}
	c.report(cancelled == 1, "an abandoned request was cancelled at its engine")
}

func (c *checks) checkOrderTwice() {
	key := uuid.Must(uuid.NewV7()).String()
	answers := make([]elmclient.Response, 2)
	var group sync.WaitGroup
	for i, entry := range []string{"entry-3", "entry-5"} {
		group.Go(func() { answers[i] = c.order(entry, key) })
	}
	group.Wait()
	third := c.order("entry-6", key)
	runs := c.site.Executions(c.ctx, key)
	c.report(runs == 1, "a work order sent twice at once and once more ran %d time (status %d, %d, %d)", runs, answers[0].Status, answers[1].Status, third.Status)
	c.report(third.Status == http.StatusOK && third.Header.Get("Idempotency-Replayed") == "true", "the repeated order got the first answer again")
}

func (c *checks) checkOutAndBack() {
	_, err := c.site.Command(c.ctx, "out", "-platform", c.site.Platform, "-wait", "worcester")
	c.report(err == nil, "worcester taken out, in force everywhere %v", errorText(err))
	before := c.site.EngineCounts(c.ctx, "worcester").Started
	complete := c.load(40)
	c.report(complete == 40, "%d of 40 requests answered whole while it was out", complete)
	c.report(c.site.EngineCounts(c.ctx, "worcester").Started == before, "worcester received no new work")
	_, err = c.site.Command(c.ctx, "back", "-platform", c.site.Platform, "-wait", "worcester")
	c.report(err == nil, "worcester taken back, in force everywhere %v", errorText(err))
	complete = c.load(40)
	c.report(complete == 40 && c.site.EngineCounts(c.ctx, "worcester").Started > before, "%d of 40 requests answered whole, worcester serves again", complete)
}

func (c *checks) checkShutdown() {
	var a elmclient.Response
	var group sync.WaitGroup
	group.Go(func() { a = c.draft(c.ctx, "entry-7", tokensPerRequest) })
	time.Sleep(50 * time.Millisecond)
	err := c.site.Signal("entry-7", syscall.SIGTERM)
	group.Wait()
	c.report(err == nil && a.Complete(tokensPerRequest), "an entry that was asked to stop finished its stream")
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	c.report(c.site.WaitExit(ctx, "entry-7") == nil, "and then ended")
}

// load sends requests to all entries, at most six at a time, and returns the
// number of complete answers.
func (c *checks) load(count int) int {
	names := c.site.EntryNames()
	results := make([]bool, count)
	var group sync.WaitGroup
	slots := make(chan struct{}, 6)
	for i := range count {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			a := c.draft(c.ctx, names[i%len(names)], tokensPerRequest)
			results[i] = a.Complete(tokensPerRequest)
			if !results[i] {
				fmt.Printf("      %s answered %d: %s %s\n", names[i%len(names)], a.Status, a.Body, a.Err)
				c.explain(a.Problem().Request)
			}
		})
	}
	group.Wait()
	complete := 0
	for _, ok := range results {
		if ok {
			complete++
		}
	}
	return complete
}

// explain prints the recorded history of a request.
func (c *checks) explain(request string) {
	text, err := c.site.Command(c.ctx, "explain", "-platform", c.site.Platform, request)
	fmt.Println(text, errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
