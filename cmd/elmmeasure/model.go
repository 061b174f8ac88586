package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/wcharczuk/go-chart/v2"

	"github.com/elmcove/elmcove/internal/stand/elmlockstep"
)

// modelSeeds is the number of runs of each variant.
const modelSeeds = 10

// variant is one set of policies under the load of an experiment.
type variant struct {
	name     string
	settings elmlockstep.Settings
}

// experiment compares variants under the same load.
type experiment struct {
	title string
	file  string
	// plotSkew is whether the plot shows the load of the most loaded rank. Otherwise it
	// shows the share of requests on time.
	plotSkew bool
	variants []variant
}

func experiments() []experiment {
	calm := elmlockstep.Calm()
	span := func(from, to int, factor float64) elmlockstep.Span {
		return elmlockstep.Span{From: time.Duration(from) * time.Second, To: time.Duration(to) * time.Second, Factor: factor}
	}
	burst, slow, outage := span(6, 14, 1.7), span(10, 18, 5), span(10, 16, 1)
	return []experiment{
		{"Step-time skew and the cost of rebalancing, demand shifts every 4 s", "skew", true, []variant{
			{"first map", calm.WithMapPolicy(elmlockstep.KeepFirst)},
			{"always changing", calm.WithMapPolicy(elmlockstep.AlwaysImprove)},
			{"elmcove", calm},
			{"bound: demand known, changes free", calm.WithMapPolicy(elmlockstep.Oracle)},
		}},
		{"A burst of 1.7 times the traffic from second 6 to 14", "burst", false, []variant{
			{"in the order of arrival", calm.WithQueuePolicy(elmlockstep.ArrivalOrder).WithBurst(burst)},
			{"elmcove", calm.WithBurst(burst)},
		}},
		{"A rank at five times its work from second 10 to 18", "slow", false, []variant{
			{"in the order of arrival", calm.WithQueuePolicy(elmlockstep.ArrivalOrder).WithSlow(slow, false)},
			{"nothing new goes there", calm.WithSlow(slow, false)},
			{"elmcove: streams leave it", calm.WithSlow(slow, true)},
		}},
		{"A data centre leaves at second 10 and returns at 16: the group is broken", "away", false, []variant{
			{"in the order of arrival", calm.WithQueuePolicy(elmlockstep.ArrivalOrder).WithOutage(outage)},
			{"elmcove", calm.WithOutage(outage)},
		}},
	}
}

const modelPageHeader = `# Measures of the model

Written by ` + "`make measure`" + ` from the model in internal/stand/elmlockstep: 12 ranks of 12
slots, 7 entries, 56 drafts/s for 30 s, %d seeds of each way. Shares of all drafts: on time
means the first event within 400 ms and no pause over 120 ms; refused, after coming back
once; gave up, without an event for 2 s. Skew is the load of the most loaded rank relative
to the mean, over passes; high is what 5 in 100 passes exceed. Copies are experts that
ranks were given, each 780 MB.

`

// runModel runs all experiments, writes a page of tables, and writes the plots into a
// folder.
func runModel(page io.Writer, plots string) error {
	if err := os.MkdirAll(plots, 0o750); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(page, modelPageHeader, modelSeeds)
	for _, e := range experiments() {
		_, _ = fmt.Fprintf(page, "## %s\n\n![%s](plots/%s.svg)\n\n", e.title, e.title, e.file)
		_, _ = fmt.Fprint(page, "| way | on time | late | refused | gave up | skew | high | maps | copies |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
		var series []chart.Series
		for _, v := range e.variants {
			r := elmlockstep.Mean(v.settings, modelSeeds)
			_, _ = fmt.Fprintf(page, "| %s | %.3f | %.3f | %.3f | %.3f | %.2f | %.2f | %d | %d |\n",
				v.name, r.OnTime, r.Late, r.Refused, r.Disconnected, r.Skew, r.Skew95, r.Rollouts, r.Copied)
			values := r.OnTimeBySecond
			if e.plotSkew {
				values = r.SkewBySecond
			}
			series = append(series, lineSeries(v.name, values))
		}
		_, _ = fmt.Fprintln(page)
		if err := writePlot(filepath.Join(plots, e.file+".svg"), e, series); err != nil {
			return err
		}
	}
	return nil
}

func lineSeries(name string, values []float64) chart.Series {
	s := chart.ContinuousSeries{Name: name, YValues: values}
	for i := range values {
		s.XValues = append(s.XValues, float64(i))
	}
	return s
}

func writePlot(path string, e experiment, series []chart.Series) error {
	label := "share on time"
	if e.plotSkew {
		label = "load of the most loaded rank / mean"
	}
	c := chart.Chart{
		Title: e.title, Width: 900, Height: 360, Series: series,
		Background: chart.Style{Padding: chart.Box{Top: 50, Left: 180}},
		XAxis:      chart.XAxis{Name: "second"},
		YAxis:      chart.YAxis{Name: label},
	}
	c.Elements = []chart.Renderable{chart.LegendLeft(&c)}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := c.Render(chart.SVG, file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
