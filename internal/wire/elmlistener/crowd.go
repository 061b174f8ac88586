package elmlistener

import "time"

// leavingRatio is the share of the limit of connections that may be leaving beyond it, and
// minLeaving their least number. They are closed within lingerTime.
const leavingRatio, minLeaving = 0.125, 16

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// rank orders connections by how little is lost by their end.
type rank int

const (
	// rankUnused is a connection that has sent nothing for a while since it was opened.
	rankUnused rank = iota
	// rankStalled is one whose request has stopped coming in.
	rankStalled
	// rankIdle is a connection between two requests, or one that is new.
	rankIdle
	// rankBusy is one that must not be ended.
	rankBusy
)

// makeRoom reports whether a further connection may be accepted, and ends another one if
// necessary.
func (l *Listener) makeRoom(now time.Time) bool {
	if l.maxConnections <= 0 {
		return true
	}
	l.mutex.Lock()
	staying := len(l.connections) - l.leaving
	crowded := staying >= l.maxConnections
	full := float64(l.leaving) >= max(leavingRatio*float64(l.maxConnections), minLeaving)
	var candidates []*conn
	if crowded && !full {
		candidates = make([]*conn, 0, staying)
		for c := range l.connections {
			if !c.leaving {
				candidates = append(candidates, c)
			}
		}
	}
	l.mutex.Unlock()
	if !crowded || full {
		return !crowded
	}
	var chosen *conn
	least, longest := rankBusy, time.Duration(0)
	for _, c := range candidates {
		if r, since := c.rank(now); r < least || r == least && since > longest {
			chosen, least, longest = c, r, since
		}
	}
	if least == rankBusy {
		return false
	}
	if least != rankStalled {
		l.markLeaving(chosen)
		chosen.leave()
		return true
	}
	if !chosen.holder.End(now) {
		return false // Its request has come in meanwhile.
	}
	l.markLeaving(chosen)
	l.ended(EndedCrowded)
	return true
}

func (l *Listener) markLeaving(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, ok := l.connections[c]; ok && !c.leaving {
		c.leaving = true
		l.leaving++
	}
}

// rank returns the connection's rank and for how long it has had it.
func (c *conn) rank(now time.Time) (rank, time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	idle := now.Sub(c.idleSince)
	switch {
	case c.final || c.evicted:
		return rankBusy, 0
	case c.phase == awaiting && !c.used && idle >= firstRequestWait:
		return rankUnused, idle
	case c.phase == awaiting:
		return rankIdle, idle
	}
	if stalled := c.holder.Stalled(now); stalled > 0 {
		return rankStalled, stalled
	}
	return rankBusy, 0
}

// leave ends the connection if no request has come.
func (c *conn) leave() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == awaiting {
		c.crowded = true
		_ = c.setReadDeadline() // It fails only on a closed connection.
		return
	}
	c.stay()
}

// stay keeps a connection that was told to leave, since a request has come. The mutex must be
// held.
func (c *conn) stay() {
	c.crowded = false
	l := c.listener
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c.leaving && !c.evicted {
		c.leaving = false
		l.leaving--
	}
}

// evict ends a head or a body that is coming in.
func (c *conn) evict() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.final {
		c.evicted = true
		_ = c.setReadDeadline() // It fails only on a closed connection.
	}
}

func (c *conn) isEvicted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.evicted
}
