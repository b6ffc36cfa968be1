package report

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"robincart/internal/lab/run"
)

const (
	plotWidth  = 9.6 * vg.Inch
	plotHeight = 3.4 * vg.Inch

	// Lengths are in points.
	solidWidth  = vg.Length(1.4)
	dashedWidth = vg.Length(1)
	dashLength  = vg.Length(4)
	dashGap     = vg.Length(3)

	legendPadding = vg.Length(2)
	legendOffset  = vg.Length(14) // of a legend at the bottom, above the axis

	// minLatency is the lowest latency, in ms, that a logarithmic axis shows.
	minLatency = 0.01
	// maxPercentile is the percentile at the end of an axis, where 100 would be infinitely far away.
	maxPercentile = 99.999
	// minShade is the shortest time that a fault is shaded for.
	minShade = 100 * time.Millisecond
	// labelHeight is the height of a fault's name, as a share of the plot.
	labelHeight = 0.02
	// headroom is the axis's length over the largest value.
	headroom = 1.05
	// minAxis is the length of an axis without any value.
	minAxis = 0.01
	// windowsPerSecond is how many windows of the generator's schedule a second has.
	windowsPerSecond = 10
)

// palette has the colors of the arms, in turn.
var palette = []color.RGBA{
	{0x1f, 0x5f, 0xa8, 255},
	{0xc4, 0x4e, 0x2b, 255},
	{0x3a, 0x8f, 0x4d, 255},
	{0x8a, 0x4f, 0xa3, 255},
	{0x9a, 0x7b, 0x16, 255},
	{0x55, 0x55, 0x55, 255},
}

// The colors of what is behind the arms' lines.
var (
	horizontalGrid = color.Gray{225}
	verticalGrid   = color.Gray{240}
	faultShade     = color.RGBA{0xf3, 0xdd, 0xd6, 255}
	faultLabel     = color.RGBA{0x9c, 0x5b, 0x47, 255}
)

// plotDefinition is one plot of the page.
type plotDefinition struct {
	title, note string
	draw        func([]series) (*plot.Plot, error)
}

// plots lists the plots in the order of the page.
var plots = []plotDefinition{
	{
		title: "Latency by percentile",
		note: "From the planned moment (full lines) and from the moment of sending (dashed): where the two part, " +
			"requests waited before they were sent.",
		draw: percentilePlot,
	},
	{
		title: "Goodput by second",
		note: "Utility in time over utility asked for, by the second in which the calls were planned. " +
			"Shaded: faults.",
		draw: goodputPlot,
	},
	{
		title: "99th percentile by second",
		note:  "Of calls that ended ok, by planned second.",
		draw: func(all []series) (*plot.Plot, error) {
			return secondsPlot(all, "ms", func(s run.Second) float64 { return s.P99 })
		},
	},
	{
		title: "Calls open at the end of each second",
		note:  "Due and not yet ended, retries included.",
		draw: func(all []series) (*plot.Plot, error) {
			return secondsPlot(all, "calls", func(s run.Second) float64 { return float64(s.Open) })
		},
	},
	{
		title: "Planned and sent, by 100 ms",
		note: "The generator's own schedule. Where the lines part, the run says more of the generator than of the " +
			"fleet.",
		draw: schedulePlot,
	},
}

// view draws the plot.
func (d plotDefinition) view(all []series) (plotView, error) {
	p, err := d.draw(all)
	if err != nil {
		return plotView{}, err
	}
	svg, err := render(p)
	if err != nil {
		return plotView{}, err
	}
	return plotView{Title: d.title, Note: d.note, SVG: svg}, nil
}

// render writes a plot as an SVG element.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:] // inside a page an SVG has no prologue
	}
	return template.HTML(text), nil // our own drawing: names in it are those of checked files
}

// newPlot returns an empty plot with a grid.
func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.X.Tick.Marker, p.Y.Tick.Marker = shortTicks{}, shortTicks{}
	p.X.Min = 0
	p.Legend.Top = true
	p.Legend.Padding = legendPadding
	p.Legend.YOffs = -legendPadding
	grid := plotter.NewGrid()
	grid.Horizontal.Color, grid.Vertical.Color = horizontalGrid, verticalGrid
	p.Add(grid)
	return p
}

// addLine adds a line in the i-th color, with an entry in the legend if it has a name.
func addLine(p *plot.Plot, name string, i int, dashed bool, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = palette[i%len(palette)]
	line.Width = solidWidth
	if dashed {
		line.Dashes, line.Width = []vg.Length{dashLength, dashGap}, dashedWidth
	}
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// shortTicks are the default ticks, with labels no longer than their numbers need.
type shortTicks struct{}

// Ticks is part of plot.Ticker.
func (shortTicks) Ticks(from, to float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(from, to)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = strconv.FormatFloat(ticks[i].Value, 'g', 6, 64)
		}
	}
	return ticks
}

// nines is a percentile's position on its axis: each further nine is as wide as the one before.
func nines(percentile float64) float64 { return -math.Log10(1 - min(percentile, maxPercentile)/100) }

// percentilePlot draws latency and service time by percentile.
func percentilePlot(all []series) (*plot.Plot, error) {
	p := newPlot("percentile", "ms")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = percentileTicks(all[0].arm.Quantiles)
	p.Legend.Left = true
	for i, s := range all {
		var planned, service plotter.XYs
		for _, q := range s.arm.Quantiles {
			planned = append(planned, plotter.XY{X: nines(q.Q), Y: max(q.Planned, minLatency)})
			service = append(service, plotter.XY{X: nines(q.Q), Y: max(q.Service, minLatency)})
		}
		if err := addLine(p, s.name, i, false, planned); err != nil {
			return nil, err
		}
		if err := addLine(p, "", i, true, service); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// percentileTicks are the ticks of a percentile axis. Percentiles below the median are too close together.
func percentileTicks(quantiles []run.Quantile) plot.ConstantTicks {
	var ticks []plot.Tick
	for _, q := range quantiles {
		if q.Q >= 50 || q.Q == 10 {
			ticks = append(ticks, plot.Tick{Value: nines(q.Q), Label: strconv.FormatFloat(q.Q, 'g', -1, 64)})
		}
	}
	return plot.ConstantTicks(ticks)
}

// secondsPlot draws a figure of each second, with the first run's faults behind it.
func secondsPlot(all []series, y string, figure func(run.Second) float64) (*plot.Plot, error) {
	p := newPlot("seconds", y)
	largest := 0.0
	for _, s := range all {
		for _, second := range s.arm.Seconds {
			largest = max(largest, figure(second))
		}
	}
	for _, fault := range all[0].run.Faults {
		if err := addFault(p, fault, largest); err != nil {
			return nil, err
		}
	}
	for i, s := range all {
		var points plotter.XYs
		for n, second := range s.arm.Seconds {
			points = append(points, plotter.XY{X: float64(n) + 0.5, Y: figure(second)})
		}
		if err := addLine(p, s.name, i, false, points); err != nil {
			return nil, err
		}
	}
	p.Y.Min, p.Y.Max = 0, max(largest*headroom, minAxis)
	return p, nil
}

// addFault shades the time of a fault up to a height, and writes its name there.
func addFault(p *plot.Plot, fault run.Span, height float64) error {
	from, to := fault.From.Seconds(), max(fault.To, fault.From+minShade).Seconds()
	corners := plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: height}, {X: from, Y: height}}
	shade, err := plotter.NewPolygon(corners)
	if err != nil {
		return err
	}
	shade.Color, shade.LineStyle.Width = faultShade, 0
	p.Add(shade)
	label, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    plotter.XYs{{X: from, Y: height * labelHeight}},
		Labels: []string{" " + fault.Name},
	})
	if err != nil {
		return err
	}
	label.TextStyle[0].Color = faultLabel
	p.Add(label)
	return nil
}

// goodputPlot draws the goodput of each second. Its legend is at the bottom, since good lines are at the top.
func goodputPlot(all []series) (*plot.Plot, error) {
	p, err := secondsPlot(all, "goodput", func(s run.Second) float64 { return s.Goodput })
	if err != nil {
		return nil, err
	}
	p.Legend.Top, p.Legend.YOffs = false, legendOffset
	return p, nil
}

// schedulePlot draws the calls that were planned and dispatched in each window.
func schedulePlot(all []series) (*plot.Plot, error) {
	p := newPlot("seconds", "requests in 100 ms")
	for i, s := range all {
		var planned, sent plotter.XYs
		for window, counts := range s.arm.Windows {
			at := float64(window)/windowsPerSecond + 0.5/windowsPerSecond
			planned = append(planned, plotter.XY{X: at, Y: float64(counts[0])})
			sent = append(sent, plotter.XY{X: at, Y: float64(counts[1])})
		}
		if i == 0 {
			if err := addLine(p, "planned", len(palette)-1, true, planned); err != nil {
				return nil, err
			}
		}
		if err := addLine(p, s.name, i, false, sent); err != nil {
			return nil, err
		}
	}
	p.Y.Min = 0
	return p, nil
}
