package gauge

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	// plotInterval is the time between two points of the plot.
	plotInterval = 500 * time.Millisecond
	plotWidth    = 24 * vg.Centimeter
	plotHeight   = 12 * vg.Centimeter
)

// WritePlot draws the served, refused and missed shares over time, with the events marked.
// The file extension determines the format.
func (r *Result) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = r.Scenario.Name + ": " + r.Scenario.About
	p.X.Label.Text = "planned arrival, s"
	p.Y.Label.Text = "share of offered requests, %"
	p.Y.Min, p.Y.Max = 0, 105
	p.Legend.Top = false
	p.Legend.Left = true
	if err := r.addLines(p); err != nil {
		return err
	}
	if err := r.addMarks(p); err != nil {
		return err
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save the plot: %w", err)
	}
	return nil
}

func (r *Result) addLines(p *plot.Plot) error {
	series := r.series()
	lines := []struct {
		name  string
		value func(*Window) float64
		color color.RGBA
	}{
		{"attained", (*Window).Served, color.RGBA{R: 20, G: 100, B: 180, A: 255}},
		{"refused", func(w *Window) float64 { return share(w.Counts[Refused], w.Offered()) }, color.RGBA{R: 220, G: 130, A: 255}},
		{"missed", missedShare, color.RGBA{R: 200, B: 40, A: 255}},
	}
	for _, l := range lines {
		points := make(plotter.XYs, 0, len(series))
		for _, w := range series {
			if w.Offered() > 0 {
				points = append(points, plotter.XY{X: w.From.Seconds(), Y: 100 * l.value(w)})
			}
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw %s: %w", l.name, err)
		}
		drawn.Color = l.color
		drawn.Width = vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	return nil
}

// missedShare returns the share of late, missing and wrong answers.
func missedShare(w *Window) float64 {
	return share(w.Counts[Late]+w.Counts[Missing]+w.Counts[Wrong], w.Offered())
}

func (r *Result) series() []*Window {
	var series []*Window
	for at := time.Duration(0); at < r.Scenario.Duration; at += plotInterval {
		series = append(series, newWindow("", at, at+plotInterval))
	}
	for i := range r.Samples {
		at := min(int(r.Samples[i].At/plotInterval), len(series)-1)
		series[at].add(&r.Samples[i])
	}
	return series
}

func (r *Result) addMarks(p *plot.Plot) error {
	marks := r.Scenario.Marks()
	labels := plotter.XYLabels{}
	for _, m := range marks {
		x := m.At.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: 105}})
		if err != nil {
			return fmt.Errorf("mark %s: %w", m.Name, err)
		}
		line.Color = color.Gray{Y: 120}
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(line)
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: 2})
		labels.Labels = append(labels.Labels, " "+m.Name)
	}
	if len(marks) == 0 {
		return nil
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return fmt.Errorf("name the marks: %w", err)
	}
	p.Add(names)
	return nil
}
