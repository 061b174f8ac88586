package elmmemory

import (
	"sync"
	"time"
)

// Pool is a part of an Account with a limit of its own.
type Pool int

const (
	// Heads is the memory for heads of requests beyond what each connection is allowed.
	Heads Pool = iota
	// Small is the memory for the first part of each body. Bodies beyond SmallBytes can't take
	// it away.
	Small
	// Large is the memory for the rest of bodies.
	Large
	pools
)

// String returns the name of the pool.
func (p Pool) String() string { return [pools]string{"heads", "small bodies", "large bodies"}[p] }

// Pools returns all pools.
func Pools() []Pool { return []Pool{Heads, Small, Large} }

const (
	// SmallBytes is the part of each body that is held in the pool Small. Ordinary requests
	// have bodies of some kilobytes.
	SmallBytes = 16 << 10
	// StallTime is the time without progress after which a holder may be ended. A segment that
	// was lost on a slow link is sent again within about a second.
	StallTime = 2 * time.Second
	// progressBytes is what must come in to count as progress. A holder that sends a byte now
	// and then would otherwise hold its memory for ever.
	progressBytes = 1 << 10
	// endingRatio is the share of a pool that ended holders may still have. They return it when
	// their connections are closed.
	endingRatio = 0.25
)

// Limits are the limits of the pools of an Account in bytes.
type Limits struct{ Heads, Small, Large int64 }

// Account is the memory that callers make a process hold. When a pool is used up, the holder
// that holds most of it and has made no progress for longest is ended. If there is none, the
// one that asks for more gets nothing. It is safe for concurrent use.
type Account struct {
	limits [pools]int64
	ended  func(Pool)

	mutex        sync.Mutex
	used, ending [pools]int64
	holders      map[*Holder]struct{}
}

// NewAccount returns an Account. The function is called with the pool for each holder that is
// ended or gets nothing.
func NewAccount(limits Limits, ended func(Pool)) *Account {
	return &Account{
		limits: [pools]int64{limits.Heads, limits.Small, limits.Large}, ended: ended, holders: map[*Holder]struct{}{},
	}
}

// Used returns the bytes that are held of a pool, with those of holders that were ended.
func (a *Account) Used(p Pool) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.used[p] + a.ending[p]
}

// Holder is a connection of a caller, with its current request. The methods of a nil Holder
// grant everything. It is safe for concurrent use.
type Holder struct {
	account *Account
	end     func()
	// The mutex of the account guards what follows.
	held       [pools]int64
	progressed time.Time
	// received counts the bytes since progressed.
	received         int64
	protected, ended bool
}

// Open returns a Holder that holds nothing. The function end is called, from any goroutine,
// when the holder must return its memory by Close.
func (a *Account) Open(now time.Time, end func()) *Holder {
	if a == nil {
		return nil
	}
	h := &Holder{account: a, end: end, progressed: now}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Take takes bytes from a pool, or from Large if Small is used up. If it returns false, the
// holder must give up its request.
func (h *Holder) Take(p Pool, n int64, now time.Time) bool {
	if h == nil || n <= 0 {
		return true
	}
	ok, victims := h.account.take(h, p, n, now)
	for _, v := range victims {
		h.account.ended(p)
		v.end()
	}
	if !ok {
		h.account.ended(p)
	}
	return ok
}

// Settle makes a holder hold a number of bytes of a pool. If it returns false, the holder must give
// up its request.
func (h *Holder) Settle(p Pool, n int64, now time.Time) bool {
	if h == nil {
		return true
	}
	h.account.mutex.Lock()
	missing := n - h.held[p]
	if missing < 0 && !h.ended {
		h.account.used[p] += missing
		h.held[p] = n
	}
	h.account.mutex.Unlock()
	return h.Take(p, missing, now)
}

// take takes bytes and returns the holders that are to be ended for that.
func (a *Account) take(h *Holder, p Pool, n int64, now time.Time) (ok bool, victims []*Holder) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if h.ended {
		return false, nil
	}
	if p == Small && a.used[Small]+n > a.limits[Small] && a.used[Large]+n <= a.limits[Large] {
		p = Large
	}
	for a.used[p]+n > a.limits[p] {
		if float64(a.ending[p]) > endingRatio*float64(a.limits[p]) {
			return false, victims
		}
		v := a.victim(h, p, now)
		if v == nil {
			return false, victims
		}
		v.markEnded()
		victims = append(victims, v)
	}
	a.used[p] += n
	h.held[p] += n
	return true, victims
}

// markEnded records that the holder must return its memory. The mutex must be held.
func (h *Holder) markEnded() {
	h.ended = true
	for i, n := range h.held {
		h.account.used[i] -= n
		h.account.ending[i] += n
	}
}

// End ends the holder if it has made no progress for StallTime and is not protected. It reports
// whether it has.
func (h *Holder) End(now time.Time) bool {
	if h == nil || !h.markStalled(now) {
		return false
	}
	h.end()
	return true
}

func (h *Holder) markStalled(now time.Time) bool {
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	if h.protected || h.ended || now.Sub(h.progressed) < StallTime {
		return false
	}
	h.markEnded()
	return true
}

// victim returns the holder that is ended first so that another one gets memory of a pool, or
// nil. The mutex must be held.
func (a *Account) victim(asks *Holder, p Pool, now time.Time) *Holder {
	var chosen *Holder
	most := 0.0
	for h := range a.holders {
		idle := now.Sub(h.progressed)
		if h == asks || h.protected || h.ended || h.held[p] == 0 || idle < StallTime {
			continue
		}
		if weight := float64(h.held[p]) * idle.Seconds(); weight > most {
			chosen, most = h, weight
		}
	}
	return chosen
}

// Progress records that bytes of the current request have come in.
func (h *Holder) Progress(n int, now time.Time) {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	if h.received += int64(n); h.received >= progressBytes {
		h.received, h.progressed = 0, now
	}
}

// Protect keeps the holder from being ended: its request has come in completely and may run. It
// returns false if the holder was ended before.
func (h *Holder) Protect() bool {
	if h == nil {
		return true
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.protected = !h.ended
	return h.protected
}

// Stalled returns for how long the holder has made no progress, or 0 if it can't be ended.
func (h *Holder) Stalled(now time.Time) time.Duration {
	if h == nil {
		return 0
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	if idle := now.Sub(h.progressed); !h.protected && !h.ended && idle >= StallTime {
		return idle
	}
	return 0
}

// Ended reports whether the holder was ended.
func (h *Holder) Ended() bool {
	if h == nil {
		return false
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	return h.ended
}

// Begin records that a request begins to come in, or that its head is complete.
func (h *Holder) Begin(now time.Time) {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.received, h.progressed = 0, now
}

// Drop returns the memory of the body.
func (h *Holder) Drop() {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	head := h.held[Heads]
	h.held[Heads] = 0
	h.release()
	h.held[Heads] = head
}

// Reset returns the memory at the end of a request.
func (h *Holder) Reset(now time.Time) {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.release()
	h.protected, h.received, h.progressed = false, 0, now
}

// Close returns the memory at the end of the connection.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.release()
	h.ended = true
	delete(h.account.holders, h)
}

// release returns the memory. The mutex must be held.
func (h *Holder) release() {
	from := &h.account.used
	if h.ended {
		from = &h.account.ending
	}
	for i, n := range h.held {
		from[i] -= n
	}
	h.held = [pools]int64{}
}
