// Package faultlink provides TCP proxies that inject faults into the connections of a
// test: delays, resets, refused connections, and connections that stay open and
// deliver nothing.
package faultlink
