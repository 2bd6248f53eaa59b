// Command savoryshift is the router daemon that runs on every entry VM.
package main
