package elmpilot

import (
	"context"
	"time"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/expert/elmshift"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
)

// change brings a new map into force.
func (p *Pilot) change(ctx context.Context, v view, current, next elmrank.Map) {
	plan := p.planOf(v, current, next)
	shift, commands := elmshift.New(plan, v.reports)
	began := time.Now()
	shift = p.conduct(ctx, v, shift, commands)
	p.group.remember(v.epoch, shift)
	event := elmlog.MapAbandoned
	if shift.Changed() {
		event = elmlog.MapChanged
		p.group.maps = map[int64]elmrank.Map{v.version: current, plan.Version: next}
	}
	p.logger.Event(event, "epoch", v.epoch, "map", v.version, "version", shift.Version(), "step", shift.Step(),
		"phase", shift.State(), "elapsed", time.Since(began))
}

// remember keeps what the next change must not use again.
func (g *group) remember(epoch int64, s elmshift.Shift) {
	g.version = max(g.version, s.Version())
	if epoch != g.epoch {
		g.epoch, g.step = epoch, 0
	}
	g.step = max(g.step, s.Step())
}

// heal releases a group that an earlier planner has left held.
func (p *Pilot) heal(ctx context.Context, v view, current elmrank.Map, held map[int]int64) {
	plan := p.planOf(v, current, nil)
	for r := range v.reports {
		if _, holds := held[plan.Own]; !holds {
			break
		}
		plan.Own = r
	}
	p.logger.Event(elmlog.GroupHeld, "epoch", v.epoch, "held", held, "own", plan.Own)
	began := time.Now()
	shift, commands := elmshift.Heal(plan, held, v.reports)
	shift = p.conduct(ctx, v, shift, commands)
	p.group.remember(v.epoch, shift)
	p.logger.Event(elmlog.GroupRepaired, "epoch", v.epoch, "held", held, "elapsed", time.Since(began))
}

func (p *Pilot) planOf(v view, current, next elmrank.Map) elmshift.Plan {
	highest := max(v.highest, p.group.version)
	return elmshift.Plan{
		Version: (highest/elmshift.VersionStride+1)*elmshift.VersionStride + int64(v.own),
		Epoch:   v.epoch, Current: current, Next: next, Own: v.own, Lead: lead, After: p.group.step,
	}
}

// conduct carries out the commands of a change until it ends.
func (p *Pilot) conduct(ctx context.Context, v view, shift elmshift.Shift, commands []elmshift.Command) elmshift.Shift {
	messages := make(chan elmshift.Message, 4*len(v.reports)+4)
	expired := time.NewTimer(changeTimeout)
	defer expired.Stop()
	waiting := false
	for !shift.Done() {
		for _, c := range commands {
			switch c := c.(type) {
			case elmshift.Send:
				go func() {
					outcome := v.targets[c.Rank].client.Order(ctx, v.targets[c.Rank].address, c.Order)
					messages <- elmshift.Answered{State: c.State, Rank: c.Rank, Operation: c.Order.Operation, Outcome: outcome}
				}()
			case elmshift.Ask:
				go func() {
					report, err := v.targets[c.Rank].client.Report(ctx, v.targets[c.Rank].address)
					messages <- elmshift.Reported{State: c.State, Rank: c.Rank, Report: report, Failed: err != nil}
				}()
			case elmshift.Wait:
				if !waiting {
					waiting = true
					time.AfterFunc(pauseRest, func() { messages <- elmshift.Waited{} })
				}
			}
		}
		var message elmshift.Message
		select {
		case message = <-messages:
		case <-expired.C:
			message = elmshift.Expired{}
		}
		if _, ok := message.(elmshift.Waited); ok {
			waiting = false
		}
		shift, commands = shift.Update(message)
	}
	return shift
}
