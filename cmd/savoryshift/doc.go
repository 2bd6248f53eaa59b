// Command savoryshift is the router daemon that runs on every entry VM. Without a
// subcommand it takes its settings from --settings; the subcommand entry runs the
// router on the users' platform (see package platform).
package main
