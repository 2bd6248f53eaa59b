package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// minPoints is the minimum number of sizes for a fit; a line through two points
// always has residual 0.
const minPoints = 3

// series holds the values of one metric of one benchmark by size. sizeName is the
// name of the size in the benchmark's name, or "n".
type series struct {
	name, sizeName, metric string
	points                 map[float64]float64
}

// line is the least-squares line through a series.
type line struct {
	series
	slope, intercept float64
	// residual is the largest vertical distance of a point from the line, as a
	// share of the value at the largest size.
	residual float64
}

// resultLine matches one result line of `go test -bench`, with or without the
// GOMAXPROCS suffix; sizePart matches a part of a benchmark name that is a size.
var (
	resultLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)
	sizePart   = regexp.MustCompile(`^(?:(\w+)=)?([0-9.]+)$`)
)

// splitSize splits the last size off a benchmark name. It returns the rest of the
// name, and the name and value of the size; ok is false if there is no size.
func splitSize(name string) (rest, sizeName string, value float64, ok bool) {
	parts := strings.Split(name, "/")
	for i, part := range slices.Backward(parts) {
		m := sizePart.FindStringSubmatch(part)
		if m == nil {
			continue
		}
		value, err := strconv.ParseFloat(m[2], 64)
		return strings.Join(slices.Delete(parts, i, i+1), "/"), cmp.Or(m[1], "n"), value, err == nil
	}
	return "", "", 0, false
}

// parse reads benchmark output and returns the series in the order in which they
// appear.
func parse(r io.Reader) ([]*series, error) {
	var all []*series
	index := map[[3]string]*series{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		m := resultLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		name, unit, sizeValue, ok := splitSize(m[1])
		if !ok {
			continue
		}
		fields := strings.Fields(m[2])
		for i := 0; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("value in %q: %w", lines.Text(), err)
			}
			key := [3]string{name, unit, fields[i+1]}
			if index[key] == nil {
				index[key] = &series{name: name, sizeName: unit, metric: fields[i+1], points: map[float64]float64{}}
				all = append(all, index[key])
			}
			if old, known := index[key].points[sizeValue]; !known || value < old {
				index[key].points[sizeValue] = value
			}
		}
	}
	return all, lines.Err()
}

// fit returns the least-squares line through a series, or false if the series has
// fewer than minPoints sizes.
func fit(s *series) (line, bool) {
	if len(s.points) < minPoints {
		return line{}, false
	}
	xs, ys := s.sorted()
	l := line{series: *s}
	l.intercept, l.slope = stat.LinearRegression(xs, ys, nil, false)
	for i := range xs {
		l.residual = max(l.residual, math.Abs(ys[i]-l.intercept-l.slope*xs[i]))
	}
	if last := math.Abs(ys[len(ys)-1]); last > 0 {
		l.residual /= last
	}
	return l, true
}

// sorted returns the sizes in ascending order and their values.
func (s *series) sorted() (xs, ys []float64) {
	for x := range s.points {
		xs = append(xs, x)
	}
	slices.SortFunc(xs, cmp.Compare[float64])
	for _, x := range xs {
		ys = append(ys, s.points[x])
	}
	return xs, ys
}

// String formats a line as a row of a Markdown table.
func (l line) String() string {
	xs, ys := l.sorted()
	points := make([]string, len(xs))
	for i := range xs {
		points[i] = fmt.Sprintf("%g: %.4g", xs[i], ys[i])
	}
	return fmt.Sprintf("| %s | %s | %s | %.3g per %s + %.3g | %.0f%% |",
		l.name, l.metric, strings.Join(points, ", "), l.slope, l.sizeName, l.intercept, 100*l.residual)
}
