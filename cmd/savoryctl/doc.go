// Command savoryctl is the command-line tool of savoryshift. It has commands for
// operators, most of which call the operator API of a daemon, and the commands
// standin, load, demo and bench for trials. The file main.go lists all commands.
//
// Exit codes: 0 success, 1 failure, 2 a checked file has problems or the
// command line is invalid, 3 an edit conflicts with a concurrent change.
package main
