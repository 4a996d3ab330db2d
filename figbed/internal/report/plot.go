package report

import (
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 12 // points
	legendRoom = 1.2
)

// The names of the two sides.
const (
	nameBefore = "before"
	nameAfter  = "after"
)

// Report compares two sides. Its fields are set before Write; an empty Before plots After alone.
type Report struct {
	Before Series
	After  Series
	Folder string // for the plots
	Format string // svg or png
}

// bars is a plot with a pair of bars for each name.
type bars struct {
	title, unit   string
	names         []string
	before, after []float64
}

// Write writes a file for each thing that was measured and returns the files' names.
func (r Report) Write() ([]string, error) {
	var files []string
	for name, b := range map[string]bars{
		"worth": r.worth(), "processor": r.processor(), "memory": r.memory(),
	} {
		if len(b.names) == 0 {
			continue
		}
		file, err := r.writeBars(name, b)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	for name, c := range map[string]curves{
		"first-event": {"Time from the sending of an item to its first event", r.Before.Events, r.After.Events},
		"calls":       {"Time from the sending of a call to its answer", r.Before.Calls, r.After.Calls},
		"jobs":        {"Time from a job's acceptance to the listing of its last item", r.Before.Jobs, r.After.Jobs},
	} {
		if len(c.before)+len(c.after) == 0 {
			continue
		}
		file, err := r.writeCurves(name, c)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	slices.Sort(files)
	if len(files) == 0 {
		return nil, errors.New("the files hold nothing to plot")
	}
	return files, nil
}

// worth returns the means of the plays of each day that both sides have.
func (r Report) worth() bars {
	b := bars{title: "Worth by day", unit: "worth"}
	for _, d := range r.After.Days {
		name := d.Site + " " + d.Name
		before, known := meanWorth(r.Before.Days, d)
		if slices.Contains(b.names, name) || len(r.Before.Days) > 0 && !known {
			continue
		}
		after, _ := meanWorth(r.After.Days, d)
		b.names, b.before, b.after = append(b.names, name), append(b.before, before), append(b.after, after)
	}
	return b
}

func meanWorth(days []Day, like Day) (mean float64, ok bool) {
	sum, n := 0.0, 0
	for _, d := range days {
		if d.Site == like.Site && d.Name == like.Name {
			sum, n = sum+d.Worth, n+1
		}
	}
	return sum / float64(max(1, n)), n > 0
}

func (r Report) processor() bars {
	return r.loads("Processor time by host", "s", func(l Load) (float64, float64) { return l.CPUMean, l.CPUMost })
}

func (r Report) memory() bars {
	return r.loads("Greatest memory by host", "MB", func(l Load) (float64, float64) { return l.MBMean, l.MBMost })
}

func (r Report) loads(title, unit string, of func(l Load) (mean, most float64)) bars {
	b := bars{title: title, unit: unit}
	find := func(loads []Load, role string) (mean, most float64) {
		if i := slices.IndexFunc(loads, func(l Load) bool { return l.Role == role }); i >= 0 {
			return of(loads[i])
		}
		return 0, 0
	}
	for _, l := range r.After.Hosts {
		if slices.Contains(b.names, l.Role+", mean") {
			continue
		}
		beforeMean, beforeMost := find(r.Before.Hosts, l.Role)
		afterMean, afterMost := of(l)
		b.names = append(b.names, l.Role+", mean", l.Role+", most")
		b.before = append(b.before, beforeMean, beforeMost)
		b.after = append(b.after, afterMean, afterMost)
	}
	return b
}

func (r Report) writeBars(name string, b bars) (string, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = b.title, b.unit, 0
	for side, values := range []plotter.Values{b.before, b.after} {
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", errors.Wrap(err, "making bars")
		}
		chart.Color = plotutil.Color(side)
		chart.Offset = vg.Length(side*barWidth) - barWidth/2
		p.Add(chart)
		p.Legend.Add([]string{nameBefore, nameAfter}[side], chart)
	}
	p.Legend.Top = true
	p.X.Min, p.X.Max = -0.5, float64(len(b.names))-0.5
	p.Y.Max *= legendRoom
	p.NominalX(b.names...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = -1, -0.5
	return r.save(p, name)
}

// curves is a plot of two cumulative shares.
type curves struct {
	title         string
	before, after []float64
}

func (r Report) writeCurves(name string, c curves) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "ms", "share"
	if isWide(append(slices.Clone(c.before), c.after...)) {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for side, values := range [][]float64{c.before, c.after} {
		if len(values) == 0 {
			continue
		}
		line, err := plotter.NewLine(shares(values))
		if err != nil {
			return "", errors.Wrap(err, "making a curve")
		}
		line.Color = plotutil.Color(side)
		p.Add(line)
		p.Legend.Add([]string{nameBefore, nameAfter}[side], line)
	}
	return r.save(p, name)
}

// leastMS is the least time that is plotted, since the axis may be logarithmic.
const leastMS = 1

// wideFrom is the ratio of the greatest value to the least from which on an axis is logarithmic: below it an axis may have
// no power of ten, and only those are labelled.
const wideFrom = 100

// isWide reports whether values need a logarithmic axis.
func isWide(values []float64) bool {
	return slices.Max(values) > wideFrom*max(leastMS, slices.Min(values))
}

// shares returns the share of the values up to each value, at most maxPoints of them.
func shares(values []float64) plotter.XYs {
	const maxPoints = 200
	sorted := slices.Sorted(slices.Values(values))
	var points plotter.XYs
	for i := range min(maxPoints, len(sorted)) {
		at := (i + 1) * len(sorted) / min(maxPoints, len(sorted))
		points = append(points, plotter.XY{X: max(leastMS, sorted[at-1]), Y: float64(at) / float64(len(sorted))})
	}
	return points
}

func (r Report) save(p *plot.Plot, name string) (string, error) {
	file := filepath.Join(r.Folder, name+"."+r.Format)
	return file, errors.Wrap(p.Save(plotWidth, plotHeight, file), "writing a plot")
}
