package elmfairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

const (
	// reportRows and sumRows limit the workspaces that a report and a sum list, over all
	// services. Each takes 6 bytes.
	reportRows = 8
	sumRows    = 16
	// maxServices limits the services of a report that are taken in.
	maxServices = 64
	// listedFactor is by how much more a workspace counts for a row if it had one in the
	// last report, here or elsewhere, so that entries list the same ones.
	listedFactor = 1.5
	// rateUnit is the unit of reported rates in requests a second.
	rateUnit = 1.0 / 16
)

// Report is what the callers of an entry, or of all entries of one or more data centres, ask
// of services. It is not modified after it was made.
type Report struct {
	// Entry is the entry that has sent a report, unless that is the sum of a data centre.
	Entry string
	// Datacentre is the data centre that a sum is of.
	Datacentre string
	// Others marks the sum of all data centres but the receiver's own, and of the sender.
	Others   bool
	Services map[uint32]Demand
}

// Demand is what workspaces ask of one service. Rates are in requests a second.
type Demand struct {
	// Rows holds what the heaviest workspaces ask.
	Rows map[uint32]float64
	// Rest is what the workspaces without a row ask together, and Count their number.
	Rest  float64
	Count int
	// Admitted is the rate of requests that were placed.
	Admitted float64
	// Short reports a recent refusal for lack of capacity.
	Short bool
}

// withHeaviest returns the demand with at most n rows, those with the highest score.
func (d Demand) withHeaviest(n int, score func(key uint32, asked float64) float64) Demand {
	if len(d.Rows) <= n {
		return d
	}
	keys := slices.SortedFunc(maps.Keys(d.Rows), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(score(b, d.Rows[b]), score(a, d.Rows[a])), cmp.Compare(a, b))
	})
	rows := make(map[uint32]float64, n)
	for _, key := range keys[:n] {
		rows[key] = d.Rows[key]
	}
	for _, key := range keys[n:] {
		d.Rest += d.Rows[key]
	}
	d.Count += len(keys) - n
	d.Rows = rows
	return d
}

// Report returns the report of this entry for the others of its data centre, or nil while no
// service is short of capacity. It forgets what is too old.
func (l *Ledger) Report(now time.Duration) *Report {
	l.forget(now)
	report := Report{Entry: l.self, Services: map[uint32]Demand{}}
	short := l.shortServices(now)
	for _, key := range short {
		s, ok := l.services[key]
		if !ok || len(s.asked) == 0 {
			continue
		}
		elsewhere := map[uint32]bool{}
		for _, d := range l.heardDemands(key, now) {
			for row := range d.Rows {
				elsewhere[row] = true
			}
		}
		d := l.ownDemand(key, now).withHeaviest(rowsOf(reportRows, len(short)), func(row uint32, asked float64) float64 {
			if s.listed[row] || elsewhere[row] {
				return listedFactor * asked
			}
			return asked
		})
		s.listed = map[uint32]bool{}
		for row := range d.Rows {
			s.listed[row] = true
		}
		report.Services[key] = d
	}
	return report.orNil()
}

// Sum returns the sum of this data centre for the relays of others, or nil while no service is
// short of capacity.
func (l *Ledger) Sum(now time.Duration) *Report {
	return l.sum(Report{}, now, func(key uint32) []Demand {
		return append(demandsOf(l.entries, key, now), l.ownDemand(key, now))
	})
}

// Others returns the sum of all other data centres and of this entry, which the relay sends to
// the entries of its data centre in place of its report. It is nil while no other data centre
// has sent its sum.
func (l *Ledger) Others(now time.Duration) *Report {
	if l.heardFrom(now) == 0 {
		return nil
	}
	return l.sum(Report{Entry: l.self, Others: true}, now, func(key uint32) []Demand {
		return append(demandsOf(l.datacentres, key, now), l.ownDemand(key, now))
	})
}

// heardFrom returns the number of other data centres whose sums count.
func (l *Ledger) heardFrom(now time.Duration) int {
	number := 0
	for _, h := range l.datacentres {
		if h.isFresh(now) {
			number++
		}
	}
	return number
}

func (l *Ledger) sum(report Report, now time.Duration, demands func(key uint32) []Demand) *Report {
	report.Services = map[uint32]Demand{}
	short := l.shortServices(now)
	for _, key := range short {
		report.Services[key] = merge(demands(key)).withHeaviest(rowsOf(sumRows, len(short)), func(_ uint32, asked float64) float64 { return asked })
	}
	return report.orNil()
}

func (r Report) orNil() *Report {
	if len(r.Services) == 0 {
		return nil
	}
	return &r
}

// rowsOf deals rows to a number of services.
func rowsOf(rows, services int) int { return max(rows/max(services, 1), 1) }

// forget drops the rates and reports that no longer count.
func (l *Ledger) forget(now time.Duration) {
	stale := func(_ string, h heard) bool { return !h.isFresh(now) }
	maps.DeleteFunc(l.entries, stale)
	maps.DeleteFunc(l.datacentres, stale)
	for _, s := range l.services {
		maps.DeleteFunc(s.asked, func(_ uint32, r rate) bool { return r.decayed(now) < minRate*rateTime.Seconds() })
	}
	maps.DeleteFunc(l.services, func(_ uint32, s *service) bool { return len(s.asked) == 0 && !s.isShort(now) })
}

// IsShort reports whether any service is short of capacity.
func (l *Ledger) IsShort(now time.Duration) bool { return len(l.shortServices(now)) > 0 }

// shortServices returns the services that are short of capacity here or elsewhere, in order.
func (l *Ledger) shortServices(now time.Duration) []uint32 {
	short := map[uint32]bool{}
	for key, s := range l.services {
		if s.isShort(now) {
			short[key] = true
		}
	}
	for _, h := range l.fresh(now) {
		for key, d := range h.Services {
			if d.Short {
				short[key] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(short))
}

func (s *service) isShort(now time.Duration) bool { return s.short && now-s.shortAt < shortTime }

// fresh returns the reports that count for this entry's shares. The sum of all other data
// centres stands for those of each of them: a relay that has just become one has both.
func (l *Ledger) fresh(now time.Duration) []Report {
	var list []Report
	for _, h := range l.entries {
		if h.isFresh(now) {
			list = append(list, h.report)
		}
	}
	if l.others.isFresh(now) {
		return append(list, l.others.report)
	}
	for _, h := range l.datacentres {
		if h.isFresh(now) {
			list = append(list, h.report)
		}
	}
	return list
}

func (l *Ledger) heardDemands(key uint32, now time.Duration) []Demand {
	var list []Demand
	for _, r := range l.fresh(now) {
		if d, ok := r.Services[key]; ok {
			list = append(list, d)
		}
	}
	return list
}

func demandsOf(reports map[string]heard, key uint32, now time.Duration) []Demand {
	var list []Demand
	for _, h := range reports {
		if d, ok := h.report.Services[key]; ok && h.isFresh(now) {
			list = append(list, d)
		}
	}
	return list
}

// ownDemand returns what this entry has measured, with a row for each workspace that was not
// forgotten.
func (l *Ledger) ownDemand(key uint32, now time.Duration) Demand {
	s, ok := l.services[key]
	if !ok {
		return Demand{}
	}
	d := Demand{Rows: make(map[uint32]float64, len(s.asked)), Admitted: l.perSecond(s.admitted.decayed(now), now), Short: s.isShort(now)}
	rest := s.total.decayed(now)
	for row, r := range s.asked {
		count := r.decayed(now)
		d.Rows[row] = l.perSecond(count, now)
		rest -= count
	}
	d.Rest = l.perSecond(max(rest, 0), now)
	return d
}

// Message encodes the report.
func (r Report) Message() *elmpeer.Shares {
	message := &elmpeer.Shares{Entry: r.Entry, Datacentre: r.Datacentre, Others: r.Others}
	for _, key := range slices.Sorted(maps.Keys(r.Services)) {
		d := r.Services[key]
		s := &elmpeer.ServiceShares{Service: key, Admitted: units(d.Admitted), Rest: units(d.Rest), Count: uint32(d.Count), Short: d.Short}
		for _, row := range slices.Sorted(maps.Keys(d.Rows)) {
			s.Workspaces, s.Asked = append(s.Workspaces, row), append(s.Asked, units(d.Rows[row]))
		}
		message.Services = append(message.Services, s)
	}
	return message
}

func units(perSecond float64) uint32 { return uint32(math.Round(perSecond / rateUnit)) }

// Decode decodes a report. Rows beyond the limits are left out.
func Decode(message *elmpeer.Shares) Report {
	report := Report{Entry: message.GetEntry(), Datacentre: message.GetDatacentre(), Others: message.GetOthers(), Services: map[uint32]Demand{}}
	for _, s := range message.GetServices()[:min(len(message.GetServices()), maxServices)] {
		d := Demand{
			Rows: map[uint32]float64{}, Rest: float64(s.GetRest()) * rateUnit, Count: int(s.GetCount()),
			Admitted: float64(s.GetAdmitted()) * rateUnit, Short: s.GetShort(),
		}
		for i := range min(len(s.GetWorkspaces()), len(s.GetAsked()), sumRows) {
			d.Rows[s.GetWorkspaces()[i]] = float64(s.GetAsked()[i]) * rateUnit
		}
		report.Services[s.GetService()] = d
	}
	return report
}
