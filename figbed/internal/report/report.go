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
	plotWidth      = 20 * vg.Centimeter
	plotHeight     = 9 * vg.Centimeter
	barWidth       = 12  // points
	legendHeadroom = 1.2 // factor by which the Y axis is extended for the legend
)

// Legend labels of the two sides of a comparison.
const (
	labelBefore = "before"
	labelAfter  = "after"
)

// Report compares the measurements of two sides. Set its fields before calling Write. With an empty Before, only After is
// plotted.
type Report struct {
	Before Series
	After  Series
	Folder string // that the plot files are written to
	Format string // file extension: svg or png
}

// barChart is a bar chart with a pair of bars for each name.
type barChart struct {
	title, unit   string
	names         []string
	before, after []float64
}

// Write writes a plot file for each quantity that was measured and returns the sorted file paths. It returns an error if
// nothing was measured.
func (r Report) Write() ([]string, error) {
	var files []string
	for name, chart := range map[string]barChart{
		"worth": r.worthChart(), "processor": r.processorChart(), "memory": r.memoryChart(),
	} {
		if len(chart.names) == 0 {
			continue
		}
		file, err := r.writeBars(name, chart)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	for name, chart := range map[string]distributionChart{
		"first-event": {"Time from sending an item to its first event", r.Before.FirstEventMS, r.After.FirstEventMS},
		"calls":       {"Time from sending a call to its response", r.Before.CallMS, r.After.CallMS},
		"jobs":        {"Time from accepting a job to listing its last item", r.Before.JobMS, r.After.JobMS},
	} {
		if len(chart.before)+len(chart.after) == 0 {
			continue
		}
		file, err := r.writeDistribution(name, chart)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	slices.Sort(files)
	if len(files) == 0 {
		return nil, errors.New("the input files contain no measurements to plot")
	}
	return files, nil
}

// worthChart charts the mean worth of each day over all its runs. If there are two sides, it leaves out days that one of
// them lacks.
func (r Report) worthChart() barChart {
	chart := barChart{title: "Worth by day", unit: "worth"}
	for _, d := range r.After.Days {
		name := d.Site + " " + d.Name
		before, inBoth := meanWorth(r.Before.Days, d)
		if slices.Contains(chart.names, name) || len(r.Before.Days) > 0 && !inBoth {
			continue
		}
		after, _ := meanWorth(r.After.Days, d)
		chart.names, chart.before, chart.after = append(chart.names, name), append(chart.before, before), append(chart.after, after)
	}
	return chart
}

func meanWorth(days []Day, ofDay Day) (mean float64, ok bool) {
	total, count := 0.0, 0
	for _, d := range days {
		if d.Site == ofDay.Site && d.Name == ofDay.Name {
			total, count = total+d.Worth, count+1
		}
	}
	return total / float64(max(1, count)), count > 0
}

func (r Report) processorChart() barChart {
	return r.loadChart("CPU time by host", "s", func(l HostLoad) (float64, float64) { return l.CPUMean, l.CPUMax })
}

func (r Report) memoryChart() barChart {
	return r.loadChart("Peak memory by host", "MB", func(l HostLoad) (float64, float64) { return l.MBMean, l.MBMax })
}

func (r Report) loadChart(title, unit string, meanAndMax func(l HostLoad) (mean, maximum float64)) barChart {
	chart := barChart{title: title, unit: unit}
	find := func(loads []HostLoad, role string) (mean, maximum float64) {
		if i := slices.IndexFunc(loads, func(l HostLoad) bool { return l.Role == role }); i >= 0 {
			return meanAndMax(loads[i])
		}
		return 0, 0
	}
	for _, l := range r.After.Hosts {
		if slices.Contains(chart.names, l.Role+", mean") {
			continue
		}
		beforeMean, beforeMax := find(r.Before.Hosts, l.Role)
		afterMean, afterMax := meanAndMax(l)
		chart.names = append(chart.names, l.Role+", mean", l.Role+", maximum")
		chart.before = append(chart.before, beforeMean, beforeMax)
		chart.after = append(chart.after, afterMean, afterMax)
	}
	return chart
}

func (r Report) writeBars(name string, chart barChart) (string, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = chart.title, chart.unit, 0
	for side, values := range []plotter.Values{chart.before, chart.after} {
		plotted, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", errors.Wrap(err, "creating a bar chart")
		}
		plotted.Color = plotutil.Color(side)
		plotted.Offset = vg.Length(side*barWidth) - barWidth/2
		p.Add(plotted)
		p.Legend.Add([]string{labelBefore, labelAfter}[side], plotted)
	}
	p.Legend.Top = true
	p.X.Min, p.X.Max = -0.5, float64(len(chart.names))-0.5
	p.Y.Max *= legendHeadroom
	p.NominalX(chart.names...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = -1, -0.5
	return r.save(p, name)
}

// distributionChart plots the cumulative distributions of two sets of values in milliseconds.
type distributionChart struct {
	title         string
	before, after []float64
}

func (r Report) writeDistribution(name string, chart distributionChart) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = chart.title, "ms", "share"
	if needsLogScale(append(slices.Clone(chart.before), chart.after...)) {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for side, values := range [][]float64{chart.before, chart.after} {
		if len(values) == 0 {
			continue
		}
		line, err := plotter.NewLine(cumulativeShares(values))
		if err != nil {
			return "", errors.Wrap(err, "creating a curve")
		}
		line.Color = plotutil.Color(side)
		p.Add(line)
		p.Legend.Add([]string{labelBefore, labelAfter}[side], line)
	}
	return r.save(p, name)
}

// minPlottedMS is the lower bound of plotted times, since a logarithmic axis can't show 0.
const minPlottedMS = 1

// logScaleRatio is the ratio of the maximum to the minimum value above which an axis is logarithmic. A logarithmic axis has
// labels only at powers of ten, and a narrower range may contain none.
const logScaleRatio = 100

// needsLogScale reports whether the range of values calls for a logarithmic axis.
func needsLogScale(values []float64) bool {
	return slices.Max(values) > logScaleRatio*max(minPlottedMS, slices.Min(values))
}

// cumulativeShares returns the points of the empirical cumulative distribution of values, at most maxPoints of them.
func cumulativeShares(values []float64) plotter.XYs {
	const maxPoints = 200
	sorted := slices.Sorted(slices.Values(values))
	var points plotter.XYs
	for i := range min(maxPoints, len(sorted)) {
		rank := (i + 1) * len(sorted) / min(maxPoints, len(sorted))
		points = append(points, plotter.XY{X: max(minPlottedMS, sorted[rank-1]), Y: float64(rank) / float64(len(sorted))})
	}
	return points
}

func (r Report) save(p *plot.Plot, name string) (string, error) {
	file := filepath.Join(r.Folder, name+"."+r.Format)
	return file, errors.Wrap(p.Save(plotWidth, plotHeight, file), "saving a plot")
}
