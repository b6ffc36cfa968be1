// Package report draws runs: one HTML page that needs nothing beside it.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"sort"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/run"
)

var colors = []color.RGBA{{0x1f, 0x5f, 0xa8, 255}, {0xc4, 0x4e, 0x2b, 255}, {0x3a, 0x8f, 0x4d, 255}, {0x8a, 0x4f, 0xa3, 255},
	{0x9a, 0x7b, 0x16, 255}, {0x55, 0x55, 0x55, 255}}

const (
	width  = 9.6 * vg.Inch
	height = 3.4 * vg.Inch
)

// page is what the template shows.
type page struct {
	Runs   []*run.Result
	Rows   []row
	Heads  []string
	Plots  []drawn
	Rules  []string
	Breach [][]int
}

type row struct {
	Name  string
	Cells []string
}

type drawn struct {
	Title, Note string
	SVG         template.HTML
}

// line is one arm of one run.
type line struct {
	name string
	arm  *run.Arm
	run  *run.Result
}

// HTML writes the page on one run, or on several side by side.
func HTML(w io.Writer, runs ...*run.Result) error {
	p := page{Runs: runs}
	var lines []line
	for i, r := range runs {
		for _, a := range r.Arms {
			name := a.Name
			if len(runs) > 1 {
				name = fmt.Sprintf("%s (%d)", a.Name, i+1)
			}
			lines = append(lines, line{name, a, r})
			p.Heads = append(p.Heads, name)
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("no arm was played")
	}
	metrics := []string{}
	for m := range lines[0].arm.Metrics {
		metrics = append(metrics, m)
	}
	sort.Strings(metrics)
	for _, m := range metrics {
		r := row{Name: m}
		for _, l := range lines {
			r.Cells = append(r.Cells, run.FormatNumber(l.arm.Metrics[m]))
		}
		p.Rows = append(p.Rows, r)
	}
	for _, rule := range judge.RuleNames {
		counts := []int{}
		for _, l := range lines {
			counts = append(counts, l.arm.Broken[rule].Count)
		}
		p.Rules, p.Breach = append(p.Rules, rule), append(p.Breach, counts)
	}
	plots := []struct {
		title, note string
		make        func([]line) (*plot.Plot, error)
	}{
		{"Latency by percentile", "From the planned moment (full lines) and from the moment of sending (dashed): where the two part, " +
			"requests waited before they were sent.", percentiles},
		{"Goodput by second", "Utility in time over utility asked for, by the second in which the calls were planned. Shaded: faults.", goodput},
		{"99th percentile by second", "Of calls that ended ok, by planned second.", p99},
		{"Calls open at the end of each second", "Due and not yet ended, retries included.", open},
		{"Planned and sent, by 100 ms", "The generator's own schedule. Where the lines part, the run says more of the generator than of the " +
			"fleet.", schedule},
	}
	for _, x := range plots {
		d, err := x.make(lines)
		if err != nil {
			return fmt.Errorf("%s: %w", x.title, err)
		}
		svg, err := render(d)
		if err != nil {
			return fmt.Errorf("%s: %w", x.title, err)
		}
		p.Plots = append(p.Plots, drawn{x.title, x.note, svg})
	}
	return tmpl.Execute(w, p)
}

func render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:] // inside a page an SVG has no prologue
	}
	return template.HTML(text), nil // our own drawing: names in it come from checked files
}

func base(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.X.Tick.Marker, p.Y.Tick.Marker = plainTicks{}, plainTicks{}
	p.X.Min = 0
	p.Legend.Top = true
	p.Legend.Padding = vg.Points(2)
	p.Legend.YOffs = -vg.Points(2)
	g := plotter.NewGrid()
	g.Horizontal.Color, g.Vertical.Color = color.Gray{225}, color.Gray{240}
	p.Add(g)
	return p
}

func add(p *plot.Plot, name string, i int, dashed bool, xy plotter.XYs) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color = colors[i%len(colors)]
	l.Width = vg.Points(1.4)
	if dashed {
		l.Dashes, l.Width = []vg.Length{vg.Points(4), vg.Points(3)}, vg.Points(1)
	}
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

func percentiles(lines []line) (*plot.Plot, error) {
	p := base("percentile", "ms")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var ticks []plot.Tick
	for _, q := range lines[0].arm.Quants {
		if q.Q >= 50 || q.Q == 10 {
			ticks = append(ticks, plot.Tick{Value: nines(q.Q), Label: strconv.FormatFloat(q.Q, 'g', -1, 64)})
		}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	p.Legend.Left = true
	for i, l := range lines {
		var planned, service plotter.XYs
		for _, q := range l.arm.Quants {
			planned = append(planned, plotter.XY{X: nines(q.Q), Y: max(q.Planned, 0.01)})
			service = append(service, plotter.XY{X: nines(q.Q), Y: max(q.Service, 0.01)})
		}
		if err := add(p, l.name, i, false, planned); err != nil {
			return nil, err
		}
		if err := add(p, "", i, true, service); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// plainTicks are the usual ones, with labels as short as the numbers are.
type plainTicks struct{}

func (plainTicks) Ticks(from, to float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(from, to)
	for i := range ticks {
		if ticks[i].Label != "" {
			ticks[i].Label = strconv.FormatFloat(ticks[i].Value, 'g', 6, 64)
		}
	}
	return ticks
}

// nines gives the high percentiles room: each further nine is as wide as the one before.
func nines(q float64) float64 { return -math.Log10(1 - min(q, 99.999)/100) }

// overTime draws a figure of each second, with the faults behind it.
func overTime(lines []line, y string, of func(run.Second) float64) (*plot.Plot, error) {
	p := base("seconds", y)
	most := 0.0
	for _, l := range lines {
		for _, s := range l.arm.Seconds {
			most = max(most, of(s))
		}
	}
	for _, f := range lines[0].run.Faults {
		from, to := f.From.Seconds(), max(f.To, f.From+100*time.Millisecond).Seconds()
		shade, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: most}, {X: from, Y: most}})
		if err != nil {
			return nil, err
		}
		shade.Color, shade.LineStyle.Width = color.RGBA{0xf3, 0xdd, 0xd6, 255}, 0
		p.Add(shade)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: from, Y: most * 0.02}}, Labels: []string{" " + f.Name}})
		if err != nil {
			return nil, err
		}
		label.TextStyle[0].Color = color.RGBA{0x9c, 0x5b, 0x47, 255}
		p.Add(label)
	}
	for i, l := range lines {
		var xy plotter.XYs
		for s, v := range l.arm.Seconds {
			xy = append(xy, plotter.XY{X: float64(s) + 0.5, Y: of(v)})
		}
		if err := add(p, l.name, i, false, xy); err != nil {
			return nil, err
		}
	}
	p.Y.Min, p.Y.Max = 0, max(most*1.05, 0.01)
	return p, nil
}

func goodput(lines []line) (*plot.Plot, error) {
	p, err := overTime(lines, "goodput", func(s run.Second) float64 { return s.Goodput })
	if err == nil {
		p.Legend.Top, p.Legend.YOffs = false, vg.Points(14)
	}
	return p, err
}

func p99(lines []line) (*plot.Plot, error) {
	return overTime(lines, "ms", func(s run.Second) float64 { return s.P99 })
}

func open(lines []line) (*plot.Plot, error) {
	return overTime(lines, "calls", func(s run.Second) float64 { return float64(s.Open) })
}

func schedule(lines []line) (*plot.Plot, error) {
	p := base("seconds", "requests in 100 ms")
	for i, l := range lines {
		var planned, sent plotter.XYs
		for w, n := range l.arm.Windows {
			at := float64(w)/10 + 0.05
			planned = append(planned, plotter.XY{X: at, Y: float64(n[0])})
			sent = append(sent, plotter.XY{X: at, Y: float64(n[1])})
		}
		if i == 0 {
			if err := add(p, "planned", len(colors)-1, true, planned); err != nil {
				return nil, err
			}
		}
		if err := add(p, l.name, i, false, sent); err != nil {
			return nil, err
		}
	}
	p.Y.Min = 0
	return p, nil
}

var tmpl = template.Must(template.New("page").Funcs(template.FuncMap{"number": number, "inc": func(i int) int { return i + 1 }}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>robinlab: {{range $i, $r := .Runs}}{{if $i}}, {{end}}{{.Name}}{{end}}</title>
<style>
body{font:15px/1.45 system-ui,"Liberation Sans",sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em;margin-bottom:.2em} h2{font-size:1.1em;margin:1.6em 0 .2em} p{margin:.2em 0 .6em}
table{border-collapse:collapse;font-variant-numeric:tabular-nums} td,th{padding:.15em .7em;text-align:right;border-bottom:1px solid #e4e4e4}
td:first-child,th:first-child{text-align:left} .bad{color:#b3261e;font-weight:600} .good{color:#2e7d32;font-weight:600} .note{color:#666}
svg{max-width:100%;height:auto}
</style></head><body>
{{range $i, $r := .Runs}}<h1>{{if gt (len $.Runs) 1}}({{inc $i}}) {{end}}{{.Name}}: {{if .Passed}}<span class="good">passed</span>{{else}}<span class="bad">failed</span>{{end}}</h1>
<p>{{.About}}</p><p class="note">{{number .Seconds}} s, seed {{.Seed}}, {{.Began.Format "2006-01-02 15:04:05"}}, {{.Machine}}{{if .Short}}, short form{{end}}{{if .Cut}}, <span class="bad">interrupted</span>{{end}}</p>
{{range .Invalid}}<p class="bad">Invalid: {{.}}</p>{{end}}
<table><tr><th>expected</th><th>at least</th><th>at most</th><th>found</th><th></th></tr>
{{range .Checks}}<tr><td>{{.Metric}}</td><td>{{with .Min}}{{number .}}{{end}}</td><td>{{with .Max}}{{number .}}{{end}}</td><td>{{number .Value}}</td><td>{{if .OK}}<span class="good">ok</span>{{else}}<span class="bad">failed</span>{{end}}</td></tr>
{{end}}</table>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2><p class="note">{{.Note}}</p>{{.SVG}}{{end}}
<h2>Rules</h2><table><tr><th>broken</th>{{range .Heads}}<th>{{.}}</th>{{end}}</tr>
{{range $i, $r := .Rules}}<tr><td>{{$r}}</td>{{range index $.Breach $i}}<td{{if .}} class="bad"{{end}}>{{.}}</td>{{end}}</tr>{{end}}</table>
<p class="note">Straight callers have no node: of the rules, those on nodes can't be broken there.</p>
<h2>All figures</h2><table><tr><th></th>{{range .Heads}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
</body></html>
`))

// number writes a figure, or what one points to.
func number(v any) string {
	switch x := v.(type) {
	case float64:
		return run.FormatNumber(x)
	case *float64:
		return run.FormatNumber(*x)
	}
	return fmt.Sprint(v)
}
