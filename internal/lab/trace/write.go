package trace

import (
	"bufio"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
)

// Write writes rows in a form: "jsonl" or "csv".
func Write(to io.Writer, form string, rows []Row) error {
	buffered := bufio.NewWriter(to)
	var err error
	switch form {
	case "jsonl":
		err = writeJSON(buffered, rows)
	case "csv":
		err = writeCSV(buffered, rows)
	default:
		err = fmt.Errorf("form %q is neither jsonl nor csv", form)
	}
	if err != nil {
		return err
	}
	return buffered.Flush()
}

// writeJSON writes a line with an object for each row.
func writeJSON(to io.Writer, rows []Row) error {
	encoder := json.NewEncoder(to)
	for _, row := range rows {
		if err := encoder.Encode(row); err != nil {
			return err
		}
	}
	return nil
}

// writeCSV writes a row of column names, and the rows.
func writeCSV(to io.Writer, rows []Row) error {
	w := csv.NewWriter(to)
	w.Write(columns) // errors stay until Error
	for _, row := range rows {
		w.Write(row.fields())
	}
	w.Flush()
	return w.Error()
}

// fields lists the row's values in the order of the columns.
func (r Row) fields() []string {
	return []string{
		formatFloat(r.AtUS),
		r.Method,
		r.Tenant,
		fmt.Sprint(r.Key),
		fmt.Sprint(r.Body),
		formatFloat(r.WorkMS),
		formatFloat(r.WaitMS),
		r.Outcome,
		formatFloat(r.SentUS),
		formatFloat(r.LatencyUS),
	}
}

// formatFloat writes a number with as many digits as it needs.
func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
