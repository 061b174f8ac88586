package elmlistener

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext is the server's ConnContext hook.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// AnnounceKeepAlive announces in the head of a response for how many seconds its connection
// can be used again, and keeps the connection open for longer than that. A caller that knows
// this sends no request while the connection is closed as idle, which would be without an
// answer.
func AnnounceKeepAlive(head http.Header, request *http.Request) {
	c, ok := request.Context().Value(connKey{}).(*conn)
	if !ok || !request.ProtoAtLeast(1, 1) || request.Close || head.Get("Connection") != "" {
		return
	}
	if seconds := c.announce() / time.Second; seconds > 0 {
		head.Set("Keep-Alive", "timeout="+strconv.Itoa(int(seconds)))
	}
}

// announce returns the idle limit, which holds for the time after the current request also if
// the limit is lowered meanwhile.
func (c *conn) announce() time.Duration {
	limit := c.listener.idleLimit()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.announced = limit
	return limit
}
