package report

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // PNG files
	_ "gonum.org/v1/plot/vg/vgsvg" // SVG files

	"github.com/monsoonrail/monsoonrail/internal/load"
)

const (
	// plotWidth and plotHeight are the size of every plot.
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	// timeSteps is the number of parts into which a run is cut to show it over time.
	timeSteps = 40
	// minInStep is the number of calls that a part needs to be shown.
	minInStep = 3
	// cdfPoints bounds the points of a distribution.
	cdfPoints = 400
	// shortestShown is the start of logarithmic axes, in seconds.
	shortestShown = 1e-3
)

// ErrPlot means that a plot could not be written.
type ErrPlot struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *ErrPlot) Error() string { return e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrPlot) Unwrap() error { return e.Cause }

// Series is the calls of one variant, over all its runs.
type Series struct {
	Name    string
	Results []load.Result
}

// Mark is a moment to show in a plot over time.
type Mark struct {
	At   time.Duration
	Text string
}

// newPlot returns a plot with a title, names of the axes and a legend below the data.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = vg.Points(8)
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.Padding = vg.Points(3)
	return p
}

// PlotDistribution draws which part of the answers came within a time. The file's ending chooses the format.
func PlotDistribution(path, title string, series []Series) error {
	p := newPlot(title, "time from the moment when the call was due to the whole answer, s", "part of the answers")
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = ticksWithin{plot.LogTicks{Prec: -1}}
	p.Y.Min, p.Y.Max = 0, 1
	for i, s := range series {
		line, err := plotter.NewLine(distribution(s.Results))
		if err != nil {
			return Error.Wrap(err)
		}
		style(line, i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	return save(p, path)
}

// ticksWithin drops ticks outside of an axis, for which room would be kept.
type ticksWithin struct{ plot.Ticker }

// Ticks implements plot.Ticker.
func (t ticksWithin) Ticks(least, most float64) []plot.Tick {
	return slices.DeleteFunc(t.Ticker.Ticks(least, most), func(tick plot.Tick) bool {
		return tick.Value < least || tick.Value > most
	})
}

// distribution returns the points of the latencies' cumulative distribution.
func distribution(results []load.Result) plotter.XYs {
	seconds := latenciesOf(results)
	slices.Sort(seconds)
	step := max(len(seconds)/cdfPoints, 1)
	var points plotter.XYs
	for i := 0; i < len(seconds); i += step {
		points = append(points, plotter.XY{X: seconds[i], Y: float64(i+1) / float64(len(seconds))})
	}
	if len(seconds) > 0 {
		points = append(points, plotter.XY{X: seconds[len(seconds)-1], Y: 1})
	}
	return points
}

// latenciesOf returns the latencies of the answered calls in seconds.
func latenciesOf(results []load.Result) []float64 {
	var seconds []float64
	for i := range results {
		if results[i].Answered {
			seconds = append(seconds, max(results[i].Latency.Seconds(), shortestShown))
		}
	}
	return seconds
}

// PlotOverTime draws the latency within which 95 in 100 answers came, by the time when the calls were due.
func PlotOverTime(path, title string, series []Series, marks []Mark) error {
	p := newPlot(title, "time when the call was due, s", "p95 of the time to the whole answer, s")
	highest := 0.0
	for i, s := range series {
		points := overTime(s.Results)
		for _, point := range points {
			highest = max(highest, point.Y)
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return Error.Wrap(err)
		}
		style(line, i)
		dots.Color = line.Color
		dots.Radius = vg.Points(1.5)
		dots.Shape = draw.CircleGlyph{}
		p.Add(line, dots)
		p.Legend.Add(s.Name, line)
	}
	// The room above the data is for the legend and the marks.
	p.Y.Min, p.Y.Max = 0, highest*1.35
	if err := addMarks(p, marks, highest); err != nil {
		return err
	}
	return save(p, path)
}

func overTime(results []load.Result) plotter.XYs {
	last := time.Duration(0)
	for i := range results {
		last = max(last, results[i].Due)
	}
	steps := make([][]load.Result, timeSteps)
	for i := range results {
		step := int(float64(results[i].Due) / float64(last+1) * timeSteps)
		steps[step] = append(steps[step], results[i])
	}
	var points plotter.XYs
	for i, step := range steps {
		seconds := latenciesOf(step)
		if len(seconds) < minInStep {
			continue
		}
		slices.Sort(seconds)
		points = append(points, plotter.XY{
			X: last.Seconds() * (float64(i) + 0.5) / timeSteps,
			Y: stat.Quantile(0.95, stat.Empirical, seconds, nil),
		})
	}
	return points
}

// addMarks draws a vertical line and a name at each mark, the names at changing heights.
func addMarks(p *plot.Plot, marks []Mark, highest float64) error {
	const heights = 3
	for i, mark := range marks {
		x := mark.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: highest * 1.2}})
		if err != nil {
			return Error.Wrap(err)
		}
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		labels, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: x, Y: highest * (1.02 + 0.07*float64(i%heights))}},
			Labels: []string{" " + mark.Text},
		})
		if err != nil {
			return Error.Wrap(err)
		}
		p.Add(line, labels)
	}
	return nil
}

// Point is one run in a plot of cost against quality.
type Point struct {
	Series string
	// CostPerCall is in millionths of a United States dollar.
	CostPerCall float64
	Quality     float64
}

// PlotCost draws each run's cost a call against the mean quality of its answers.
func PlotCost(path, title string, points []Point) error {
	p := newPlot(title, "cost of a chat, millionths of a USD", "mean quality of the answers")
	var names []string
	for _, point := range points {
		if !slices.Contains(names, point.Series) {
			names = append(names, point.Series)
		}
	}
	for i, name := range names {
		var own plotter.XYs
		for _, point := range points {
			if point.Series == name {
				own = append(own, plotter.XY{X: point.CostPerCall, Y: point.Quality})
			}
		}
		dots, err := plotter.NewScatter(own)
		if err != nil {
			return Error.Wrap(err)
		}
		dots.Color = plotutil.Color(i)
		dots.Shape = plotutil.Shape(i)
		dots.Radius = vg.Points(4)
		p.Add(dots)
		p.Legend.Add(name, dots)
	}
	widen(&p.X)
	widen(&p.Y)
	return save(p, path)
}

// widen leaves room around the data, above it for the legend.
func widen(axis *plot.Axis) {
	room := max(axis.Max-axis.Min, axis.Max*0.01)
	axis.Min -= room / 5
	axis.Max += room / 2
}

func style(line *plotter.Line, i int) {
	line.Color = plotutil.Color(i)
	line.Dashes = plotutil.Dashes(i)
	line.Width = vg.Points(1.5)
}

func save(p *plot.Plot, path string) error {
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return Error.Wrap(&ErrPlot{Path: path, Cause: err})
	}
	return nil
}
