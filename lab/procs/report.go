package procs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"github.com/swifthall/swifthall/lab/procs/check"
)

// Layout of the timeline. It shows for each door in which state every other door considered it, over the run. A small fleet has
// a row for each pair of doors; a larger one has a row for each door, coloured by the state that most others considered it in.
const (
	plotWidth    = 1100.0 // px
	plotLeft     = 130.0  // px, space for the doors' names
	rowHeight    = 5.0    // px
	maxPairDoors = 16     // maximum number of doors for a row per pair
)

// colours holds the colour of each state.
var colours = map[string]string{"here": "#4c9f70", "doubted": "#e0a030", "away": "#c0392b", "left": "#7f8c8d", "leaving": "#5dade2",
	"joining": "#af7ac5", "unknown": "#eeeeee", "": "#eeeeee"}

// bar is a coloured interval of a row.
type bar struct {
	X, Y, W, H float64
	Colour     string
	Title      string
}

// label is a text in the timeline.
type label struct {
	X, Y float64
	Text string
}

// page is the template of report.html.
var page = template.Must(template.New("page").Parse(`<!doctype html><meta charset="utf-8"><title>{{.R.Schedule}}</title>
<style>body{font:14px sans-serif;margin:2em;max-width:1300px}table{border-collapse:collapse}td,th{padding:2px 10px;text-align:left}</style>
<h1>{{.R.Schedule}}, seed {{.R.Seed}}, {{.R.Doors}} doors, {{.R.On}} ({{.R.Who}})</h1><p>{{.R.Shows}}</p>
{{if .R.Violations}}<h2>Broken</h2><table><tr><th>rule<th>at, s<th>what</tr>{{range .R.Violations}}<tr><td>{{.Rule}}<td>{{printf "%.1f" .At}} ms<td>{{.Text}}</tr>{{end}}</table>
{{else}}<p>All rules kept.</p>{{end}}
<h2>Figures</h2><table>{{range .Figures}}<tr><td>{{index . 0}}<td>{{index . 1}}</tr>{{end}}</table>
<h2>State of each door in the view of each other</h2>
<p>{{range $k, $v := .Colours}}{{if $k}}<span style="background:{{$v}};padding:0 8px">&nbsp;</span> {{$k}} &nbsp; {{end}}{{end}}
<span style="background:#000;padding:0 8px">&nbsp;</span> truly stopped or dead &nbsp; <span style="background:#26a;padding:0 8px">&nbsp;</span> a way from or to it truly cut</p>
<svg width="{{.Wide}}" height="{{.High}}" font-family="sans-serif" font-size="10">
{{range .Bars}}<rect x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}" width="{{printf "%.1f" .W}}" height="{{printf "%.1f" .H}}" fill="{{.Colour}}"><title>{{.Title}}</title></rect>
{{end}}{{range .Labels}}<text x="{{printf "%.1f" .X}}" y="{{printf "%.1f" .Y}}">{{.Text}}</text>
{{end}}</svg>`))

// Write writes a run into a directory, which it creates: result.json, report.html, and schedule.toml to repeat the run.
func (r *Result) Write(s *Schedule, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return &RigError{dir, err}
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return &RigError{"the result", err}
	}
	plan, err := toml.Marshal(s)
	if err != nil {
		return &RigError{"the schedule", err}
	}
	html, err := r.html()
	if err != nil {
		return &RigError{"the report", err}
	}
	for name, data := range map[string][]byte{"result.json": raw, "schedule.toml": plan, "report.html": html} {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o644); err != nil {
			return &RigError{dir, err}
		}
	}
	return nil
}

// html returns the report as an HTML page.
func (r *Result) html() ([]byte, error) {
	t := &r.Truth
	from, to := 0.0, t.EndMs
	if len(r.History) > 0 {
		from = min(0, r.History[0].At)
	}
	x := func(at float64) float64 { return plotLeft + plotWidth*(min(max(at, from), to)-from)/(to-from) }
	var bars []bar
	var labels []label
	y := 14.0
	add := func(a, b, y, h float64, colour, title string) {
		if w := x(b) - x(a); w > 0 {
			bars = append(bars, bar{x(a), y, max(w, 0.5), h, colour, title})
		}
	}
	for s := 0; ; s++ {
		at := from + (to-from)*float64(s)/10
		labels = append(labels, label{x(at), 10, fmt.Sprintf("%.1f s", at/msPerSecond)})
		if s == 10 {
			break
		}
	}
	pairs := t.Doors <= maxPairDoors
	for d := range t.Doors {
		labels = append(labels, label{4, y + 9, fmt.Sprintf("%s (z%d)", Door(d), t.Zones[d])})
		for _, s := range append(append([]Interval(nil), t.Paused[d]...), t.Dead[d]...) {
			add(s.From, s.To, y, 3, "#000", "truly stopped or dead")
		}
		for i := range t.Cuts {
			c := &t.Cuts[i]
			for o := range t.Doors {
				if c.Links[d*t.Doors+o] || c.Links[o*t.Doors+d] {
					add(c.From, c.To, y+3, 2, "#26a", "a way is truly cut")
					break
				}
			}
		}
		y += 6
		if !pairs {
			r.majority(d, from, to, func(a, b float64, state string) { add(a, b, y, rowHeight, colours[state], state) })
			y += rowHeight + 2
			continue
		}
		for o := range t.Doors {
			if o == d {
				continue
			}
			state, since := "", from
			for i := range r.History {
				e := &r.History[i]
				switch {
				case e.Door == o && e.From == "born":
					add(since, e.At, y, rowHeight-1, colours[state], fmt.Sprintf("%s considered it %s", Door(o), state))
					state, since = "", e.At
				case e.Door == o && e.About == d:
					add(since, e.At, y, rowHeight-1, colours[state], fmt.Sprintf("%s considered it %s", Door(o), state))
					state, since = e.To, e.At
				}
			}
			add(since, to, y, rowHeight-1, colours[state], fmt.Sprintf("%s considered it %s", Door(o), state))
			y += rowHeight
		}
		y += 4
	}
	f := &r.Figures
	figures := [][2]string{{"healthy doors held to be away", fmt.Sprint(f.FalseAway)}, {"most changes of one verdict during a cut", fmt.Sprint(f.VerdictChanges)},
		{"deaths known, 99 in 100 within", fmt.Sprintf("%.0f ms of %d", check.Quantile(f.DetectionMs, 99), len(f.DetectionMs))},
		{"the paused back, all within", fmt.Sprintf("%.0f ms of %d", check.Quantile(f.RecoveryMs, 100), len(f.RecoveryMs))},
		{"one view after the last fault", fmt.Sprintf("%.0f ms (-1: never)", f.ConvergenceMs)},
		{"messages a second of a door", fmt.Sprintf("%.1f", r.Messages)}, {"bytes a second of a door", fmt.Sprintf("%.0f", r.Bytes)},
		{"operations finished at doors that nothing befell", fmt.Sprintf("%d of %d", r.Finished, r.Asked)}}
	var out bytes.Buffer
	err := page.Execute(&out, struct {
		R          *Result
		Figures    [][2]string
		Colours    map[string]string
		Bars       []bar
		Labels     []label
		Wide, High float64
	}{r, figures, colours, bars, labels, plotLeft + plotWidth + 20, y + 20})
	return out.Bytes(), err
}

// majority calls out with the state in which most others considered a door, for each interval between changes of it.
func (r *Result) majority(d int, from, to float64, out func(a, b float64, state string)) {
	states := make([]string, r.Truth.Doors)
	count := map[string]int{"": r.Truth.Doors - 1}
	majority, since := "", from
	for i := range r.History {
		e := &r.History[i]
		if e.Door == d || e.About != d && e.From != "born" {
			continue
		}
		next := e.To
		if e.From == "born" {
			next = ""
		}
		count[states[e.Door]]--
		states[e.Door] = next
		count[next]++
		now := majority
		for s, n := range count {
			if n > count[now] || n == count[now] && s < now && now != majority {
				now = s
			}
		}
		if now != majority {
			out(since, e.At, majority)
			majority, since = now, e.At
		}
	}
	out(since, to, majority)
}
