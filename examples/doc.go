// Package examples holds the settings files, trees and workloads of the two
// deployments, and the test that keeps them valid.
package examples
