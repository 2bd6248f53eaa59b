// Package examples holds the settings files, settings trees and workloads of two
// example deployments, trust and agencia, and the tests that validate them. The
// folder local has the files of a deployment on one machine.
package examples
