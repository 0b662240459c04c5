package ctl

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/berylpond/berylpond/internal/document"
)

func (a *app) configCommand() *cobra.Command {
	return a.group("config", "Validate, change and show the configuration documents of teams",
		a.configValidate(), a.configDiff(), a.configApply(), a.configGet(), a.configHistory())
}

// readDocument reads and parses a document from a file.
func readDocument(file string) ([]byte, *document.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	d, err := document.Parse(data)
	return data, d, err
}

// defaultAuthor returns the operator's user name, which is recorded in the history.
func defaultAuthor() string {
	if u := os.Getenv("USER"); u != "" {
		return u
	}
	return "unknown"
}
