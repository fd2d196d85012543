package load

import (
	"fmt"
	"html"
	"io"
	"strings"

	"baobabreach/internal/errs"
)

// Sizes of the plot in pixels.
const (
	plotWidth  = 800
	plotHeight = 200
	plotMargin = 50
)

var plotColours = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e"}

// WritePlot writes p99 and goodput over time as an SVG image.
func WritePlot(w io.Writer, rs []Result) error {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-size="12">`,
		plotWidth+2*plotMargin, 2*(plotHeight+2*plotMargin))
	writeChart(&b, rs, "p99 latency, ms", 0, func(f Stats) float64 { return f.P99Ms })
	writeChart(&b, rs, "goodput, requests/s", plotHeight+2*plotMargin, func(f Stats) float64 { return f.Goodput })
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return errs.Wrap(err, "write plot")
}

func writeChart(b *strings.Builder, rs []Result, title string, top int, value func(Stats) float64) {
	maxValue, seconds := 1.0, 2
	for _, r := range rs {
		seconds = max(seconds, len(r.Seconds))
		for _, f := range r.Seconds {
			maxValue = max(maxValue, value(f))
		}
	}
	baseline := top + plotMargin + plotHeight
	_, _ = fmt.Fprintf(b, `<text x="%d" y="%d">%s (top: %.0f; %d s)</text>`, plotMargin, top+plotMargin/2,
		title, maxValue, seconds)
	_, _ = fmt.Fprintf(b, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#999"/>`,
		plotMargin, top+plotMargin, plotWidth, plotHeight)
	for i, r := range rs {
		colour := plotColours[i%len(plotColours)]
		_, _ = fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text><polyline fill="none" stroke="%s" points="`,
			plotMargin+400+80*i, top+plotMargin/2, colour, html.EscapeString(r.Policy), colour)
		for j, f := range r.Seconds {
			_, _ = fmt.Fprintf(b, "%d,%.1f ", plotMargin+j*plotWidth/(seconds-1), float64(baseline)-value(f)/maxValue*plotHeight)
		}
		b.WriteString(`"/>`)
	}
}
