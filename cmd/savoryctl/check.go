package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/internal/check"
	"github.com/savoryshift/savoryshift/platform"
	"github.com/savoryshift/savoryshift/settings"
	"github.com/savoryshift/savoryshift/tree"
)

var checkCommand = command{name: "check", short: "Check a settings file or a tree; exit code 2 when it has problems",
	new: func(e *env) flags.Commander { return &checkOptions{env: e} }}

type checkOptions struct {
	env  *env
	Kind string `long:"kind" choice:"auto" choice:"settings" choice:"tree" choice:"platform" choice:"deploy" default:"auto" description:"kind of the file"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"yes"`
}

// checkResult is the output of `savoryctl check --json`.
type checkResult struct {
	File     string          `json:"file"`
	Kind     string          `json:"kind"`
	Problems []check.Problem `json:"problems"`
	// Warnings lists the values that are allowed and have a drawback.
	Warnings []check.Problem `json:"warnings"`
}

// Execute implements flags.Commander.
func (o *checkOptions) Execute([]string) error {
	data, err := os.ReadFile(o.Args.File)
	if err != nil {
		return oops.Wrap(err)
	}
	switch {
	case o.Kind == "auto" && strings.HasSuffix(o.Args.File, ".toml"):
		o.Kind = "deploy"
	case o.Kind == "auto":
		o.Kind = kindOfFile(data)
	}
	result := checkResult{File: o.Args.File, Kind: o.Kind, Problems: []check.Problem{}, Warnings: []check.Problem{}}
	warnings, err := checkFile(o.Kind, data)
	result.Warnings = append(result.Warnings, warnings...)
	if problems, ok := errors.AsType[check.Problems](err); ok {
		result.Problems = problems
	} else if err != nil {
		result.Problems = []check.Problem{{Value: err.Error(), Allowed: expectedDocument(o.Kind)}}
	}
	if printErr := o.env.print(result, func(w io.Writer) { printCheck(w, result) }); printErr != nil {
		return printErr
	}
	if err != nil {
		return errProblems
	}
	return nil
}

func printCheck(w io.Writer, r checkResult) {
	for _, p := range r.Problems {
		fmt.Fprintln(w, p)
	}
	for _, p := range r.Warnings {
		fmt.Fprintf(w, "warning: %s: %s; advised: %s\n", p.Path, p.Value, p.Allowed)
	}
	fmt.Fprintf(w, "%s (%s): %d problems\n", r.File, r.Kind, len(r.Problems))
}

// kindOfFile returns "tree" for a document with a top-level key of a settings
// tree, and "settings" for any other.
func kindOfFile(data []byte) string {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil {
		return "settings"
	}
	for _, key := range []string{"versions", "upstreams", "services", "organisations", "rollouts", "defaults"} {
		if _, ok := object[key]; ok {
			return "tree"
		}
	}
	return "settings"
}

// checkFile parses and validates the content of a file of the given kind.
func checkFile(kind string, data []byte) (warnings []check.Problem, err error) {
	switch kind {
	case "tree":
		_, err = tree.ParseValid(data)
	case "platform":
		_, err = platform.ParseSettings(data)
	case "deploy":
		err = platform.CheckDeployFile(data)
	default:
		var s settings.Settings
		if s, err = settings.Parse(data); err == nil {
			warnings = s.Warnings()
		}
	}
	return warnings, err
}

// expectedDocument describes the syntax that a file of the given kind must have.
func expectedDocument(kind string) string {
	if kind == "deploy" {
		return "one TOML document"
	}
	return "one JSON document"
}
