package logreport

import (
	"fmt"
	"io"

	svg "github.com/ajstarks/svgo"
)

// Dimensions of the drawing, in pixels.
const (
	width     = 960
	height    = 360
	margin    = 50
	legendRow = 18
)

// colours are the bar colours of the results, in their order.
var colours = [results]string{"#4c9f70", "#e9c46a", "#5b8bd0", "#b0b0b0", "#c0392b", "#8e6bbf"}

// SVG draws the results of requests over time as stacked bars, and the hit rate as a line.
func SVG(w io.Writer, intervals []Interval) {
	canvas := svg.New(w)
	canvas.Start(width, height)
	defer canvas.End()
	canvas.Rect(0, 0, width, height, "fill:white")
	peak := 1
	for i := range intervals {
		peak = max(peak, intervals[i].Asked())
	}
	bar := float64(width-2*margin) / float64(max(1, len(intervals)))
	for i := range intervals {
		drawStack(canvas, &intervals[i], margin+int(float64(i)*bar), max(1, int(bar)-1), peak)
	}
	drawHitRate(canvas, intervals, bar)
	drawLegend(canvas, peak)
	drawAxis(canvas, intervals, bar)
}

// plotHeight is the height of the tallest bar.
const plotHeight = height - 2*margin

func drawStack(canvas *svg.SVG, i *Interval, x, w, peak int) {
	y := height - margin
	for r, count := range i.Counts {
		h := count * plotHeight / peak
		if h == 0 {
			continue
		}
		y -= h
		canvas.Rect(x, y, w, h, "fill:"+colours[r])
	}
}

func drawHitRate(canvas *svg.SVG, intervals []Interval, bar float64) {
	var xs, ys []int
	for i := range intervals {
		if intervals[i].Shared == 0 {
			continue
		}
		xs = append(xs, margin+int((float64(i)+0.5)*bar))
		ys = append(ys, height-margin-int(intervals[i].HitRate()*plotHeight))
	}
	if len(xs) > 1 {
		canvas.Polyline(xs, ys, "fill:none;stroke:black;stroke-width:2")
	}
}

func drawLegend(canvas *svg.SVG, peak int) {
	x := margin
	for r := range results {
		canvas.Rect(x, legendRow-10, 10, 10, "fill:"+colours[r])
		canvas.Text(x+14, legendRow, r.String(), "font-size:12px")
		x += 80
	}
	canvas.Line(x, legendRow-5, x+10, legendRow-5, "stroke:black;stroke-width:2")
	canvas.Text(x+14, legendRow, fmt.Sprintf("shared tokens held (top: all; bars: %d requests)", peak), "font-size:12px")
}

// labels is the approximate number of time labels on the axis.
const labels = 8

func drawAxis(canvas *svg.SVG, intervals []Interval, bar float64) {
	canvas.Line(margin, height-margin, width-margin, height-margin, "stroke:black")
	every := max(1, len(intervals)/labels)
	for i := 0; i < len(intervals); i += every {
		canvas.Text(margin+int(float64(i)*bar), height-margin+legendRow, intervals[i].From.UTC().Format("15:04:05"), "font-size:11px")
	}
}
