// Command savoryctl is the command-line tool of savoryshift.
package main
