package nodeconfig

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// addLines prefixes each mistake with the line that sets its key, or else with the line that opens the key's table. The
// key is the text before the first colon, such as service[2].method[1].name. A mistake gets no prefix if neither line
// is found.
func addLines(err error, text []byte) error {
	var mistakes []error
	for _, mistake := range splitErrors(err) {
		key, _, _ := strings.Cut(mistake.Error(), ":")
		if line := parseKeyPath(key).findLine(string(text)); line > 0 {
			mistake = fmt.Errorf("line %d: %w", line, mistake)
		}
		mistakes = append(mistakes, mistake)
	}
	return errors.Join(mistakes...)
}

// splitErrors returns the errors that were joined to one error; none for nil.
func splitErrors(err error) []error {
	if err == nil {
		return nil
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []error{err}
	}
	var all []error
	for _, part := range joined.Unwrap() {
		all = append(all, splitErrors(part)...)
	}
	return all
}

// keyPath is the key that a mistake names, such as service[2].method[1].name.
type keyPath struct {
	valid   bool           // false if a number on the path can't be parsed
	table   string         // the path without numbers: "service.method"; empty: the key is not in an array of tables
	indices map[string]int // by array of tables: the number, from 1, of the table on the path
	leaf    string         // the key in the table, if any
}

func parseKeyPath(key string) keyPath {
	path := keyPath{valid: true, indices: map[string]int{}}
	for _, part := range strings.Split(key, ".") {
		name, index, isTable := strings.Cut(part, "[")
		if !isTable {
			path.leaf = name
			break
		}
		number, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
		if err != nil {
			return keyPath{}
		}
		if path.table != "" {
			path.table += "."
		}
		path.table += name
		path.indices[path.table] = number
	}
	return path
}

// findLine returns the number of the line that sets the key, or else of the line that opens the key's table. It returns
// 0 if the text has neither.
func (k keyPath) findLine(text string) int {
	if !k.valid {
		return 0
	}
	counts := map[string]int{} // by array of tables: the number of tables opened so far
	tableLine := 0
	inTable := k.table == ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "[") {
			if inTable && k.leaf != "" && setsKey(line, k.leaf) {
				return i + 1
			}
			continue
		}
		name := tableName(line)
		if strings.HasPrefix(line, "[[") {
			countTable(counts, name)
		}
		if k.table == "" && name == k.leaf {
			return i + 1
		}
		inTable = k.opens(name, counts)
		if inTable {
			tableLine = i + 1
		}
	}
	return tableLine
}

// opens reports whether a line that opens a table with the given name opens the table of the path. counts are the
// numbers of tables opened so far, including this line's.
func (k keyPath) opens(name string, counts map[string]int) bool {
	if k.table == "" || name != k.table {
		return false
	}
	for table, number := range k.indices {
		if counts[table] != number {
			return false
		}
	}
	return true
}

// countTable counts one more table of an array of tables. The arrays nested in the new table are counted from 0 again.
func countTable(counts map[string]int, name string) {
	counts[name]++
	for table := range counts {
		if strings.HasPrefix(table, name+".") {
			counts[table] = 0
		}
	}
}

// tableName returns the name in a line that opens a table.
func tableName(line string) string {
	beforeComment, _, _ := strings.Cut(line, "#")
	return strings.Trim(strings.TrimSpace(beforeComment), "[] ")
}

func setsKey(line, key string) bool {
	name, _, assigns := strings.Cut(line, "=")
	return assigns && strings.TrimSpace(name) == key
}
