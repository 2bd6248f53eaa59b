package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/samber/oops"

	"github.com/savoryshift/savoryshift/operator"
)

var setCommand = command{name: "set", short: "Change the settings tree",
	new: func(e *env) flags.Commander { return &setOptions{env: e} }}

type setOptions struct {
	env *env
	editFlags
	Base  int64  `long:"base" default:"-1" default-mask:"the newest" description:"revision that the change is based on; give the one that get printed, so that the change of another operator is not overwritten unseen"`
	Patch string `long:"patch" value-name:"FILE" description:"file with a JSON merge patch, - for standard input"`
	Args  struct {
		Path  string `positional-arg-name:"POINTER" description:"JSON pointer, for example /defaults/priority"`
		Value string `positional-arg-name:"VALUE" description:"JSON value; null removes the key; text that is not JSON counts as a string"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (o *setOptions) Execute([]string) error {
	patch, err := o.patch()
	if err != nil {
		return err
	}
	c, err := o.env.client()
	if err != nil {
		return err
	}
	if o.Base < 0 {
		head, err := c.Changes(o.env.ctx, -1, 1)
		if err != nil {
			return err
		}
		o.Base = head.Head.Revision
	}
	result, err := c.Propose(o.env.ctx, operator.Edit{ID: o.changeID(), Reason: o.Reason, Base: o.Base, Patch: patch})
	if err := o.env.reportEdit(c, o.editFlags, result, err); err != nil || result.NoEffect || o.env.api.JSON {
		return err
	}
	diff, err := c.Diff(o.env.ctx, result.Revision-1, result.Revision)
	if err != nil {
		return err
	}
	printDifferences(o.env.out, diff.Differences)
	return nil
}

// patch returns the merge patch that the arguments describe.
func (o *setOptions) patch() (json.RawMessage, error) {
	switch {
	case (o.Patch == "") == (o.Args.Path == ""):
		return nil, oops.Errorf("set needs either POINTER and VALUE or --patch FILE")
	case o.Patch == "-":
		return io.ReadAll(os.Stdin)
	case o.Patch != "":
		return os.ReadFile(o.Patch)
	case o.Args.Value == "":
		return nil, oops.Errorf("set %s: VALUE is missing", o.Args.Path)
	}
	return patchFor(o.Args.Path, o.Args.Value)
}

// patchFor returns the merge patch that sets the value at a JSON pointer. Text that
// is not valid JSON is set as a string.
func patchFor(pointer, text string) (json.RawMessage, error) {
	var value any = json.RawMessage(text)
	if !json.Valid([]byte(text)) {
		value = text
	}
	if !strings.HasPrefix(pointer, "/") || len(pointer) < 2 {
		return nil, oops.Errorf("%q is not a JSON pointer to a key, for example /defaults/priority", pointer)
	}
	unescape := strings.NewReplacer("~1", "/", "~0", "~")
	tokens := strings.Split(pointer[1:], "/")
	for i := len(tokens) - 1; i >= 0; i-- {
		value = map[string]any{unescape.Replace(tokens[i]): value}
	}
	return json.Marshal(value)
}

func withTimeout(e *env, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.ctx, limit)
}
