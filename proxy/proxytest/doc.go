// Package proxytest provides fakes of the interfaces of package proxy.
package proxytest
