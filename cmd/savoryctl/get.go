package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/operator"
)

var getCommand = command{name: "get", short: "Print the settings tree, or effective values with their origin",
	new: func(e *env) flags.Commander { return &getOptions{env: e} }}

type getOptions struct {
	env       *env
	Effective string `long:"effective" value-name:"ORGANISATION/SERVICE[/SESSION]" description:"print the values in force there and the node that sets each"`
	Revision  int64  `long:"revision" description:"revision of the tree (default: the newest)"`
	Args      struct {
		Path string `positional-arg-name:"POINTER" description:"JSON pointer of a part of the tree, for example /organisations/club-0"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *getOptions) Execute([]string) error {
	c, err := o.env.client()
	if err != nil {
		return err
	}
	if o.Effective != "" {
		return o.effective(c)
	}
	got, err := c.Tree(o.env.ctx, o.Revision)
	if err != nil {
		return err
	}
	part, err := lookup(got.Tree, o.Args.Path)
	if err != nil {
		return err
	}
	if o.env.api.JSON && o.Args.Path == "" {
		return printJSON(o.env.out, got)
	}
	note := ""
	if got.Stale {
		note = " (the change log is unreachable; this is what the daemon has in force)"
	}
	fmt.Fprintf(o.env.err, "revision %d%s\n", got.Revision, note)
	return printJSON(o.env.out, part)
}

func (o *getOptions) effective(c *operator.Client) error {
	node := strings.Split(o.Effective, "/")
	if len(node) < 2 || len(node) > 3 {
		return oops.Errorf("--effective %q: want ORGANISATION/SERVICE or ORGANISATION/SERVICE/SESSION", o.Effective)
	}
	node = append(node, "")
	got, err := c.Effective(o.env.ctx, node[0], node[1], node[2], o.Revision)
	if err != nil {
		return err
	}
	return o.env.print(got, func(w io.Writer) { printEffective(w, got) })
}

func printEffective(w io.Writer, got operator.EffectiveAnswer) {
	data, _ := json.Marshal(got.Effective) // has no field whose encoding can fail
	var values map[string]json.RawMessage
	_ = json.Unmarshal(data, &values)
	fmt.Fprintf(w, "revision %d\n", got.Revision)
	for _, key := range slices.Sorted(maps.Keys(got.Effective.Origins)) {
		if value, ok := values[key]; ok && key != "versions" {
			fmt.Fprintf(w, "%-20s %-24s from %s\n", key, value, got.Effective.Origins[key])
		}
	}
	for _, l := range got.Effective.Limits {
		fmt.Fprintf(w, "%-20s %g requests/s, %g tokens/s (0: none), for %s, from %s\n", "limits", l.RequestsPerSecond, l.TokensPerSecond, l.Node, l.Origin)
	}
	fmt.Fprintf(w, "versions: models from %s, versions from %s\n", got.Effective.Origins["models"], got.Effective.Origins["versions"])
	for _, v := range got.Effective.Versions {
		fmt.Fprintf(w, "  %-12s model %-12s cost %-8g usable in isolation: %-5v only by roll-out: %v\n", v.ID, v.Model, v.CostPer1kOutputTokens, v.UsableInIsolation, v.OnlyByRollout)
	}
}

// lookup returns the value at a JSON pointer into a document of nested objects.
func lookup(data []byte, pointer string) (json.RawMessage, error) {
	part := json.RawMessage(data)
	if pointer == "" || pointer == "/" {
		return part, nil
	}
	unescape := strings.NewReplacer("~1", "/", "~0", "~")
	for token := range strings.SplitSeq(strings.TrimPrefix(pointer, "/"), "/") {
		var object map[string]json.RawMessage
		if err := json.Unmarshal(part, &object); err != nil {
			return nil, oops.Errorf("%s: %q is not inside an object", pointer, token)
		}
		next, ok := object[unescape.Replace(token)]
		if !ok {
			return nil, oops.Errorf("%s: the tree has no %q there", pointer, token)
		}
		part = next
	}
	return part, nil
}
