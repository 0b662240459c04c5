package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Output formats.
const (
	outputTable = "table"
	// outputText is another name of outputTable, for commands that print no table.
	outputText = "text"
	outputJSON = "json"
)

// printMessage writes m as JSON, or as a table with the rows that the function rows writes.
func (a *app) printMessage(m proto.Message, rows func(t table)) error {
	if a.output == outputJSON {
		b, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(a.out, string(b))
		return err
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	rows(table{w})
	return w.Flush()
}

// printJSON writes a value that is not a protobuf message.
func (a *app) printJSON(v any) error {
	return json.NewEncoder(a.out).Encode(v)
}

type table struct{ w io.Writer }

func (t table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(text, "\t"))
}

func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}
