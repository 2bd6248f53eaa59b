package load

import (
	"encoding/json"
	"fmt"
	"os"
)

// Workload is what the generator and the engine stand-in read of a workload
// file; the other keys belong to the policy experiments.
type Workload struct {
	Name string `json:"name"`
	// Classes lists the classes of requests.
	Classes []WorkloadClass `json:"classes"`
	// Versions lists the model versions.
	Versions []WorkloadVersion `json:"versions"`
	// Organisations lists the customers and their shares of the requests.
	Organisations []WorkloadOrganisation `json:"organisations"`
}

// Lognormal is a distribution by its median and the standard deviation of its
// logarithm.
type Lognormal struct {
	Median float64 `json:"lognormal_median"`
	Sigma  float64 `json:"sigma"`
}

// WorkloadClass is one class of requests.
type WorkloadClass struct {
	Name         string    `json:"name"`
	Share        float64   `json:"share"`
	PromptTokens Lognormal `json:"prompt_tokens"`
	OutputTokens Lognormal `json:"output_tokens"`
	DeadlineMs   Lognormal `json:"deadline_ms"`
	// CallerLeavesAfterDeadlineMs is how long the caller waits beyond the
	// deadline, in milliseconds.
	CallerLeavesAfterDeadlineMs float64 `json:"caller_leaves_after_deadline_ms"`
	// PrefixGroups is the number of different prompt prefixes.
	PrefixGroups int `json:"prefix_groups"`
	// PrefixShare is the share of a prompt that its group has in common.
	PrefixShare float64 `json:"prefix_share"`
}

// WorkloadVersion is one model version.
type WorkloadVersion struct {
	Model                   string             `json:"model"`
	Version                 string             `json:"version"`
	OutputTokensPerSPerSlot float64            `json:"output_tokens_per_s_per_slot"`
	FirstTokenMs            float64            `json:"first_token_ms"`
	GoodAnswerProbability   map[string]float64 `json:"good_answer_probability"`
}

// WorkloadOrganisation is one customer.
type WorkloadOrganisation struct {
	ID    string  `json:"id"`
	Share float64 `json:"share"`
}

// ReadWorkload reads a workload file.
func ReadWorkload(path string) (Workload, error) {
	var w Workload
	data, err := os.ReadFile(path)
	if err != nil {
		return w, err
	}
	if err := json.Unmarshal(data, &w); err != nil {
		return w, fmt.Errorf("workload %s: %w", path, err)
	}
	if len(w.Classes) == 0 {
		return w, fmt.Errorf("workload %s: classes is empty", path)
	}
	for i, c := range w.Classes {
		if c.Share < 0 || c.OutputTokens.Median < 0 || c.PromptTokens.Median < 0 || c.DeadlineMs.Median < 0 {
			return w, fmt.Errorf("workload %s: classes[%d] (%s) has a negative value", path, i, c.Name)
		}
	}
	return w, nil
}
