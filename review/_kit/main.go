package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// longest bounds the time of a script.
const longest = 110 * time.Second

// script plays one case and reports whether its rule was broken. Without trouble it does the
// same without the disruption.
type script func(h *host, trouble bool) (code int, err error)

var scripts = map[string]script{
	"part-crashes": partCrashes, "part-forgotten": partForgotten, "descriptors": descriptors, "uploads": uploads,
}

func main() {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit SCRIPT PROGRAM FOLDER; without the disruption if TROUBLE is 0")
		os.Exit(notRun)
	}
	os.Exit(run(scripts[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(play script, program, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	h, err := newHost(rec, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer h.close()
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := play(h, os.Getenv("TROUBLE") != "0")
		done <- result{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	r := result{code: notRun}
	select {
	case r = <-done:
	case s := <-signals:
		r.err = fmt.Errorf("got %s", s)
	case <-time.After(longest):
		r.err = fmt.Errorf("not finished after %s", longest)
	}
	if r.err != nil {
		rec.line("the script could not run: %v", r.err)
		r.code = notRun
	}
	rec.line("exit code %d", r.code)
	fmt.Println(rec.last(3))
	return r.code
}
