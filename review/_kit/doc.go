// Command reviewkit runs the scripts of the cases in review/. Each script starts the program
// of the deploy file as separate processes on loopback addresses, with stand-ins of the
// platform, of servers and of clients, and reports whether a rule was broken.
package main
