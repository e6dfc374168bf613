package measurer

import (
	"encoding/xml"
	"fmt"
	"io"
	"strings"

	"github.com/cowslipproxy/cowslipproxy/standin/driller"
)

const (
	plotWidth, plotHeight = 720, 90 // of the plot of one fault
	plotMargin            = 20
)

type plotText struct {
	X    int    `xml:"x,attr"`
	Y    int    `xml:"y,attr"`
	Size int    `xml:"font-size,attr"`
	Text string `xml:",chardata"`
}

type plotLine struct {
	Points string `xml:"points,attr"`
	Fill   string `xml:"fill,attr"`
	Stroke string `xml:"stroke,attr"`
}

type plotImage struct {
	XMLName xml.Name   `xml:"http://www.w3.org/2000/svg svg"`
	Width   int        `xml:"width,attr"`
	Height  int        `xml:"height,attr"`
	Lines   []plotLine `xml:"polyline"`
	Texts   []plotText `xml:"text"`
}

// WritePlot writes an SVG image with one plot per fault of the tokens received in each
// window.
func (r *Result) WritePlot(w io.Writer) error {
	image := plotImage{Width: plotWidth + 2*plotMargin, Height: len(r.Recoveries)*plotHeight + plotMargin}
	windows := int(faultDuration / driller.Window)
	maxTokens := r.Bound * driller.Window.Seconds()
	x := func(window int) int { return plotMargin + window*plotWidth/windows }
	for i, recovery := range r.Recoveries {
		baseline := (i + 1) * plotHeight
		var points strings.Builder
		for window, tokens := range recovery.Report.Windows[:windows] {
			fmt.Fprintf(&points, "%d,%d ", x(window), baseline-int(float64(tokens)/maxTokens*(plotHeight-plotMargin)))
		}
		faultWindow := int(faultAt / driller.Window)
		image.Lines = append(image.Lines,
			plotLine{Points: points.String(), Fill: "none", Stroke: "black"},
			plotLine{Points: fmt.Sprintf("%d,%d %d,%d", x(faultWindow), baseline, x(faultWindow), baseline-plotHeight+plotMargin), Fill: "none", Stroke: "red"},
			plotLine{Points: fmt.Sprintf("%d,%d %d,%d", plotMargin, baseline, plotMargin+plotWidth, baseline), Fill: "none", Stroke: "grey"})
		image.Texts = append(image.Texts, plotText{X: plotMargin, Y: baseline - plotHeight + plotMargin, Size: 12,
			Text: fmt.Sprintf("%s: tokens in 250 ms over %v, full height is the bound of %.0f", recovery.Fault, faultDuration, maxTokens)})
	}
	encoder := xml.NewEncoder(w)
	encoder.Indent("", " ")
	return encoder.Encode(image)
}
