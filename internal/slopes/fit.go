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

// minPoints is the number of sizes that a line needs for its residual to mean
// anything.
const minPoints = 3

// series is one metric of one benchmark over its sizes.
type series struct {
	name, size, metric string
	points             map[float64]float64
}

// line is a fitted line.
type line struct {
	series
	slope, intercept float64
	// residual is the largest distance of a point from the line, as a share of
	// the value at the largest size.
	residual float64
}

// result matches one line of `go test -bench`, with the suffix of -cpu; size
// matches a part of the name that is a size.
var (
	result = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)
	size   = regexp.MustCompile(`^(?:(\w+)=)?([0-9.]+)$`)
)

// split returns a name without its last size, and the name and value of that;
// false when there is none.
func split(name string) (rest, unit string, value float64, ok bool) {
	parts := strings.Split(name, "/")
	for i, part := range slices.Backward(parts) {
		m := size.FindStringSubmatch(part)
		if m == nil {
			continue
		}
		value, err := strconv.ParseFloat(m[2], 64)
		return strings.Join(slices.Delete(parts, i, i+1), "/"), cmp.Or(m[1], "n"), value, err == nil
	}
	return "", "", 0, false
}

// parse collects the series in the order in which they appear.
func parse(r io.Reader) ([]*series, error) {
	var all []*series
	index := map[[3]string]*series{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		m := result.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		name, unit, at, ok := split(m[1])
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
				index[key] = &series{name: name, size: unit, metric: fields[i+1], points: map[float64]float64{}}
				all = append(all, index[key])
			}
			if old, known := index[key].points[at]; !known || value < old {
				index[key].points[at] = value
			}
		}
	}
	return all, lines.Err()
}

// fit returns the line through a series; false with too few sizes.
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
		l.name, l.metric, strings.Join(points, ", "), l.slope, l.size, l.intercept, 100*l.residual)
}
