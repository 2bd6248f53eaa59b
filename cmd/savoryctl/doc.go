// Command savoryctl is the command-line tool for operators and newcomers.
package main
