// Package report writes the result of a run as one self-contained HTML page with tables and SVG plots.
package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/swifthall/swifthall/lab/judge"
	"github.com/swifthall/swifthall/lab/run"
	"github.com/swifthall/swifthall/lab/scenario"
)

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"share": func(x float64) string { return fmt.Sprintf("%.3f", x) },
	"ms":    func(x float64) string { return fmt.Sprintf("%.1f", x) },
	"says":  func(kind string) string { return scenario.Kinds[kind].Description },
	"part": func(a, b int) string {
		if b == 0 {
			return "0%"
		}
		return fmt.Sprintf("%.1f%%", 100*float64(a)/float64(b))
	},
}).Parse(page))

// Plot colours, which also differ in brightness so that they can be told apart in print.
var (
	blue      = color.RGBA{0x1f, 0x5a, 0xa6, 0xff}
	green     = color.RGBA{0x2b, 0x8a, 0x3e, 0xff}
	orange    = color.RGBA{0xd9, 0x77, 0x06, 0xff}
	red       = color.RGBA{0xb9, 0x1c, 0x1c, 0xff}
	grey      = color.RGBA{0x88, 0x88, 0x88, 0xff}
	bandColor = color.NRGBA{0xd0, 0x80, 0x20, 0x30}
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.6 * vg.Inch
)

// series is one curve: a value for each second of the run.
type series struct {
	name  string
	color color.Color
	value func(s *judge.Second) float64
}

type figure struct {
	Title string
	SVG   template.HTML
}

// Write writes report.html into the directory of a result.
func Write(r *run.Result, dir string) error {
	figures, err := makeFigures(r)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	err = pageTemplate.Execute(&out, struct {
		*run.Result
		Figures  []figure
		Rules    []judge.Rule
		KeptAll  bool
		HasScore bool
	}{r, figures, judge.AllRules, r.RulesKept(), r.Score != nil})
	if err != nil {
		return &WriteError{"the page", err}
	}
	path := filepath.Join(dir, "report.html")
	if err := os.WriteFile(path, out.Bytes(), 0o644); err != nil {
		return &WriteError{path, err}
	}
	return nil
}

// makeFigures draws the plots of the report.
func makeFigures(r *run.Result) ([]figure, error) {
	var figures []figure
	for _, f := range []struct {
		title, unit string
		log         bool
		lines       []series
	}{
		{"Gain asked inside the quotas, and earned", "gain a second", false, []series{
			{"asked", grey, func(s *judge.Second) float64 { return s.Offered }},
			{"earned", green, func(s *judge.Second) float64 { return s.Earned }},
			{"cost beyond quotas", red, func(s *judge.Second) float64 { return s.Over }}}},
		{"What became of the operations asked in each second", "operations a second", false, []series{
			{"asked", grey, func(s *judge.Second) float64 { return float64(s.Asked) }},
			{"in contract time", green, func(s *judge.Second) float64 { return float64(s.InTime) }},
			{"late", orange, func(s *judge.Second) float64 { return float64(s.Late) }},
			{"never served", red, func(s *judge.Second) float64 { return float64(s.Unserved) }}}},
		{"Answers that gave a try up", "tries a second", false, []series{
			{"rejected", blue, func(s *judge.Second) float64 { return float64(s.Rejected) }},
			{"scrapped", red, func(s *judge.Second) float64 { return float64(s.Failed) }}}},
		{"Time from the first try to the answer", "ms", true, []series{
			{"p50", blue, func(s *judge.Second) float64 { return s.P50 }},
			{"p99", orange, func(s *judge.Second) float64 { return s.P99 }}}},
	} {
		svg, err := plotSeries(r, f.unit, f.log, f.lines)
		if err != nil {
			return nil, &WriteError{fmt.Sprintf("the figure %q", f.title), err}
		}
		figures = append(figures, figure{f.title, svg})
	}
	return figures, nil
}

// plotSeries plots curves over time, with the faults as bands behind them. Values up to 0 are left out on a log scale.
func plotSeries(r *run.Result, unit string, log bool, lines []series) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", unit
	p.X.Min, p.X.Max = 0, math.Max(1, float64(len(r.Seconds)))
	p.Legend.Top = true
	if log {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	p.Add(plotter.NewGrid())
	top := 1.0
	var curves []plot.Plotter
	for _, l := range lines {
		var xy plotter.XYs
		for i := range r.Seconds {
			y := l.value(&r.Seconds[i])
			if log && y <= 0 {
				continue
			}
			top = math.Max(top, y)
			xy = append(xy, plotter.XY{X: float64(i) + 0.5, Y: y})
		}
		if len(xy) == 0 {
			continue
		}
		c, err := plotter.NewLine(xy)
		if err != nil {
			return "", err
		}
		c.Color, c.Width = l.color, vg.Points(1.4)
		curves = append(curves, c)
		p.Legend.Add(l.name, c)
	}
	if len(curves) == 0 {
		return "<p>No data to plot.</p>", nil
	}
	low := 0.0
	if log {
		low = 1
	}
	for _, f := range r.Faults {
		p.Add(faultBand{f.AtS, math.Max(f.End(), f.AtS+0.2)})
	}
	p.Add(curves...)
	p.Y.Min, p.Y.Max = math.Min(low, p.Y.Min), top*1.15
	if log {
		p.Y.Min = 1
	}
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if _, err := w.WriteTo(&out); err != nil {
		return "", err
	}
	raw := out.Bytes()
	if i := bytes.Index(raw, []byte("<svg")); i > 0 {
		raw = raw[i:] // drop the XML declaration; the page has its own header
	}
	return template.HTML(raw), nil
}

// faultBand is a plotter that fills the full height between two times, s.
type faultBand struct{ from, to float64 }

func (s faultBand) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	left, right := math.Max(s.from, p.X.Min), math.Min(s.to, p.X.Max)
	if left >= right {
		return
	}
	c.FillPolygon(bandColor, []vg.Point{{X: x(left), Y: c.Min.Y}, {X: x(right), Y: c.Min.Y}, {X: x(right), Y: c.Max.Y}, {X: x(left), Y: c.Max.Y}})
}
