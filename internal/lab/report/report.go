// Package report draws the results of runs: an HTML page that needs nothing beside it. Playing runs and storing their
// results is up to package run.
package report

import (
	_ "embed" // for the page's template
	"errors"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"

	"robincart/internal/lab/judge"
	"robincart/internal/lab/run"
)

// ErrNoArm is returned for results without any arm.
var ErrNoArm = errors.New("no arm was played")

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"number": formatNumber,
	"inc":    func(i int) int { return i + 1 },
}).Parse(pageText))

// page is what the template shows.
type page struct {
	Runs       []*run.Result
	Columns    []string // the arms' names
	Metrics    []metricRow
	Plots      []plotView
	Rules      []string
	Violations [][]int // by rule and arm
}

// metricRow is one metric of all arms.
type metricRow struct {
	Name  string
	Cells []string
}

// plotView is a drawn plot.
type plotView struct {
	Title, Note string
	SVG         template.HTML
}

// series is one arm of one run, as plots and tables show it.
type series struct {
	name string
	arm  *run.Arm
	run  *run.Result
}

// HTML writes the page on one run, or on several side by side.
func HTML(w io.Writer, runs ...*run.Result) error {
	all := seriesOf(runs)
	if len(all) == 0 {
		return ErrNoArm
	}
	p := page{Runs: runs, Metrics: metricRows(all), Rules: judge.RuleNames}
	for _, s := range all {
		p.Columns = append(p.Columns, s.name)
	}
	for _, rule := range judge.RuleNames {
		var counts []int
		for _, s := range all {
			counts = append(counts, s.arm.Broken[rule].Count)
		}
		p.Violations = append(p.Violations, counts)
	}
	for _, definition := range plots {
		view, err := definition.view(all)
		if err != nil {
			return fmt.Errorf("%s: %w", definition.title, err)
		}
		p.Plots = append(p.Plots, view)
	}
	return pageTemplate.Execute(w, p)
}

// seriesOf lists the arms of all runs. With several runs, their names have the run's number.
func seriesOf(runs []*run.Result) []series {
	var all []series
	for i, r := range runs {
		for _, arm := range r.Arms {
			name := arm.Name
			if len(runs) > 1 {
				name = fmt.Sprintf("%s (%d)", arm.Name, i+1)
			}
			all = append(all, series{name: name, arm: arm, run: r})
		}
	}
	return all
}

// metricRows lists the metrics of the first arm, with the values of all.
func metricRows(all []series) []metricRow {
	var rows []metricRow
	for _, metric := range slices.Sorted(maps.Keys(all[0].arm.Metrics)) {
		row := metricRow{Name: metric}
		for _, s := range all {
			row.Cells = append(row.Cells, run.FormatNumber(s.arm.Metrics[metric]))
		}
		rows = append(rows, row)
	}
	return rows
}

// formatNumber writes a number, or what one points to.
func formatNumber(value any) string {
	switch v := value.(type) {
	case float64:
		return run.FormatNumber(v)
	case *float64:
		return run.FormatNumber(*v)
	}
	return fmt.Sprint(value)
}
