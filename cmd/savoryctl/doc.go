// Command savoryctl is the command-line tool of savoryshift, for operators and
// newcomers. Each command stands in a file of its own and registers itself in
// the list of main.go.
//
// Exit codes: 0 success, 1 failure, 2 a checked file has problems or the
// command line is wrong, 3 an edit lost against another one.
package main
