package main

import (
	"fmt"
	"image/color"
	"log/slog"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// labelColors are the colours of the labels in a plot.
var labelColors = []color.Color{color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 214, G: 39, B: 40, A: 255}, color.RGBA{R: 44, G: 160, B: 44, A: 255}}

// plottedMetrics are the metrics that are plotted over each varied parameter.
var plottedMetrics = []string{"cpu_total", "memory_most", "peer_messages", "urgent_p99"}

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// writePlots writes a plot for each metric and varied parameter.
func writePlots(results []*result, dir string) error {
	for _, key := range []string{varyMachines, varyRunning, varyControllers} {
		for _, name := range plottedMetrics {
			m, _ := findMetric(name)
			file := filepath.Join(dir, fmt.Sprintf("%s-%s.svg", key, name))
			if err := writePlot(results, m, key, file); err != nil {
				return err
			}
		}
	}
	return nil
}

// writePlot plots a metric over a varied parameter, with a fitted line for each label with at least three
// runs. It writes no file if there is none.
func writePlot(results []*result, m metric, key, file string) error {
	p := plot.New()
	p.Title.Text = m.description + ", measured on loopback"
	p.X.Label.Text, p.Y.Label.Text = key, m.unit
	p.Y.Min = 0
	drawn := false
	for i, label := range runLabels(results) {
		f, ok := fitLine(results, label, key, m.value)
		if !ok {
			continue
		}
		drawn = true
		points, err := plotter.NewScatter(f.points)
		if err != nil {
			return err
		}
		points.Color = labelColors[i%len(labelColors)]
		fitted := plotter.NewFunction(func(x float64) float64 { return f.intercept + f.slope*x })
		fitted.Color = points.Color
		p.Add(points, fitted)
		p.Legend.Add(label, points)
	}
	if !drawn {
		return nil
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return err
	}
	slog.Info("plot written", "file", file)
	return nil
}
