package bench

import (
	"fmt"

	"github.com/savoryshift/savoryshift/workload"
)

// Workload is one deployment with its arrivals and faults.
type Workload = workload.Workload

// Load reads a workload file and checks that it is complete.
func Load(path string) (*Workload, error) {
	w, err := workload.Load(path)
	if err != nil {
		return nil, err
	}
	if err := w.Validate(); err != nil {
		return nil, fmt.Errorf("workload %s: %w", path, err)
	}
	return w, nil
}

// Parse decodes a workload and checks that it is complete.
func Parse(data []byte) (*Workload, error) {
	w, err := workload.Parse(data)
	if err != nil {
		return nil, err
	}
	return w, w.Validate()
}
