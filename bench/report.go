package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTable writes one line per cell. Times are in seconds. Costs are per
// request, in the unit of the workload's prices.
func WriteTable(out io.Writer, cells []*Cell) error {
	t := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "level\tfault\trouter\treq\tfeasible\tin time\tfeas.%\trefused\tcost/req\tobserved/expected/target quality by class\tfirst p50\tp95\tcall first p50\tp95\ttotal p50\tp95\tcalls/req\tretries\tbad calls\thalt s\tgoodput/s\t")
	for _, c := range cells {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%d\t%.4f\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%d\t%d\t%s\t%.2f\t\n",
			c.Level, c.Fault, c.Router, c.Requests, c.Feasible, c.Answered,
			100*float64(c.FeasibleAnswered)/float64(max(1, c.Feasible)), c.Refusals, c.CostPerRequest(), qualities(c),
			c.Summary.FirstP50, c.Summary.FirstP95, c.Summary.CallFirstP50, c.Summary.CallFirstP95, c.Summary.TotalP50, c.Summary.TotalP95,
			c.CallsPerRequest(), c.Retries, c.Exposure, haltText(c), c.Goodput())
	}
	return t.Flush()
}

func qualities(c *Cell) string {
	var parts []string
	for i := range c.Classes {
		k := &c.Classes[i]
		parts = append(parts, fmt.Sprintf("%s %.3f/%.3f/%.2f", k.Name, k.Quality(), k.Expected/float64(max(1, k.Answers)), k.Target))
	}
	return strings.Join(parts, " ")
}

func haltText(c *Cell) string {
	if len(c.HaltS) == 0 {
		return "-"
	}
	sum := 0.0
	for _, s := range c.HaltS {
		sum += s
	}
	return fmt.Sprintf("%.1f (%d/%d)", sum/float64(len(c.HaltS)), len(c.HaltS), c.Seeds)
}
